import { createHash } from "node:crypto";

const KEY_CHARACTERS = 16;

/**
 * Shortens the id of a stream, which is the caller's, to a key of fixed length. Two ids have the same key with a probability
 * of 2^-96 (SHA-256, FIPS 180-4, truncated).
 */
export function streamKey(id: string): string {
    return createHash("sha256").update(id).digest("base64url").slice(0, KEY_CHARACTERS);
}
