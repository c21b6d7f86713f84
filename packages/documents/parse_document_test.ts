import fc from "fast-check";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { expect, test } from "vitest";
import * as z from "zod";
import { checkDeclaration, declarationSchema } from "../configuration/mod.ts";
import { settingsSchema } from "../settings/mod.ts";
import { formatDocumentError, parseDocument } from "./mod.ts";

const schema = z.strictObject({ port: z.int(), inner: z.strictObject({ name: z.string() }).optional() });

function errorsOf(text: string): string[] {
    return parseDocument(text, schema).match(() => [], errors => errors.map(error => formatDocumentError("f", error)));
}

test("comments and trailing commas are accepted", () => {
    expect(parseDocument('{ "port": 1, /* why */ } // end', schema).isOk()).toBe(true);
});

test.each([
    ['{ "port": "x" }', "f:1:11: port: Invalid input: expected number, received string"],
    ['{\n  "port": 1,\n  "prot": 2\n}', "f:3:11: prot: unknown field"],
    ['{\n  "port": 1,\n  "inner": {}\n}', "f:3:12: inner.name: Invalid input: expected string, received undefined"],
    ['{ "port": 1, "port": 2 }', "f:1:14: port: field is set twice"],
    ['{ "port": ', "f:1:11: invalid JSON: ValueExpected"],
    ["", "f:1:1: invalid JSON: ValueExpected"],
])("the error of %j has its location", (text, expected) => {
    expect(errorsOf(text)).toContain(expected);
});

test("arbitrary text results in a value or in errors with a location, never in an exception", () => {
    const fragments = fc.constantFrom("{", "}", "[", "]", ":", ",", '"port"', "1", '"', "//", "/*", "\n", "true", "x");
    fc.assert(
        fc.property(fc.oneof(fc.string(), fc.array(fragments).map(parts => parts.join(" "))), text => {
            const errors = parseDocument(text, schema).match(() => [], found => found);
            return errors.every(({ line, column }) => line >= 1 && column >= 1);
        }),
        { seed: 2, numRuns: 2_000 },
    );
});

test("every example file is valid", () => {
    const directories = readdirSync("examples");
    expect(directories).toEqual(["blue-mahoe", "liepkalns"]);
    for (const directory of directories) {
        const declaration = parseDocument(
            readFileSync(join("examples", directory, "fleet.jsonc"), "utf8"),
            declarationSchema,
        );
        expect(declaration.isOk() && checkDeclaration(declaration.value)).toEqual({ errors: [], warnings: [] });
        const settings = readFileSync(join("examples", directory, "instance.jsonc"), "utf8");
        expect(parseDocument(settings, settingsSchema).isOk()).toBe(true);
    }
});
