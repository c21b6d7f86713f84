import { expect, test } from "vitest";
import { countBufferWork } from "../harness/mod.ts";
import { containsSecondAnswer } from "./_contains_second_answer.ts";
import type { BackendResponse } from "./backend_response.ts";

const ID = "9c41d07be2a35f68";
const REFUSAL = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";

function find(body: string, trailing = "", id: string | undefined = ID): boolean {
    const response = { trailing: () => Buffer.from(trailing), correlation: { header: "x-id", value: id } };
    return containsSecondAnswer(response as unknown as BackendResponse, [Buffer.from(body)]);
}

test.each([
    ["a status line before the id", `a${REFUSAL}${ID}`, "", true],
    ["the id before a status line", `${ID}${REFUSAL}`, "", false],
    ["a status line between two ids", `${ID}${REFUSAL}${ID}`, "", true],
    ["a status line without the id", REFUSAL, "", false],
    ["the beginning of a status line, which goes on behind the body", "aHTTP/1.1 2", "00 OK\r\n", true],
    ["a version at the end of the body", "aHTTP/1.", "1 200 OK\r\n", true],
    ["another version", `HTTP/1.2 200 ${ID}`, "b", false],
    ["a status that is no number", `HTTP/1.1 OK ${ID}`, "b", false],
    ["a status line behind the body", "a", REFUSAL, false],
])("a second answer is found where it begins in the body: %s", (_name, body, trailing, expected) => {
    expect(find(body, trailing)).toBe(expected);
});

// Guards against an instance that stands still over one body with many status lines: the rest of the body was searched for the
// id behind each of them.
test.each([
    ["short answers", REFUSAL],
    ["versions alone", "HTTP/1."],
    ["beginnings of the id", `HTTP/1.1 200 ${ID.slice(0, -1)}`],
])("a body of %s costs the same for each byte", (_name, text) => {
    for (const bytes of [100_000, 200_000]) {
        const body = text.repeat(Math.floor(bytes / text.length));
        expect(countBufferWork(() => expect(find(body)).toBe(false))).toBeLessThan(10 * bytes);
    }
});
