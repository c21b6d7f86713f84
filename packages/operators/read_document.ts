import type { Result } from "neverthrow";
import { type ConfigurationDocument, emptyDocument } from "../configuration/mod.ts";
import { readDeclaration } from "./read_declaration.ts";

/**
 * Reads a declaration file as a configuration, without API keys and drains.
 *
 * @param file Path of the file.
 * @returns The configuration, or one line for each error.
 * @example
 * ```ts
 * const document = await readDocument("fleet.jsonc");
 * ```
 */
export async function readDocument(file: string): Promise<Result<ConfigurationDocument, string[]>> {
    return (await readDeclaration(file)).map(({ declaration }) => ({ ...emptyDocument(), ...declaration }));
}
