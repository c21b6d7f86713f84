import { err, ok, type Result } from "neverthrow";
import type { IncomingHttpHeaders } from "node:http";
import { type ConfigurationDocument, hashKey } from "../configuration/mod.ts";
import { Refusal } from "../verdicts/mod.ts";
import type { CallerIdentity } from "./caller_identity.ts";

const MAXIMUM_KEY_CHARACTERS = 512;

/**
 * Authenticates a request by its API key.
 *
 * @param headers Headers of the request.
 * @param document Configuration in force.
 * @returns The caller, or a refusal if the key is missing or unknown.
 * @example
 * ```ts
 * authenticate({ authorization: "Bearer secret" }, document);
 * ```
 */
export function authenticate(
    headers: IncomingHttpHeaders,
    document: ConfigurationDocument,
): Result<CallerIdentity, Refusal> {
    const key = readKey(headers);
    if (key === undefined || key.length > MAXIMUM_KEY_CHARACTERS) {
        return err(new Refusal(401, "key-missing", "not-run", "Send the key in the Authorization header"));
    }
    const keyHash = hashKey(key);
    const keyEntry = Object.hasOwn(document.keys, keyHash) ? document.keys[keyHash] : undefined;
    if (!keyEntry || !Object.hasOwn(document.organisations, keyEntry.organisation)) {
        return err(new Refusal(401, "key-unknown", "not-run", "The key is not known or was withdrawn"));
    }
    return ok({ organisation: keyEntry.organisation, keyHash, key });
}

function readKey(headers: IncomingHttpHeaders): string | undefined {
    const authorization = headers.authorization;
    if (authorization !== undefined) {
        return /^Bearer +(\S+)$/i.exec(authorization)?.[1];
    }
    const header = headers["x-api-key"];
    return typeof header === "string" && header !== "" ? header : undefined;
}
