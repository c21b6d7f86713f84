import { randomBytes } from "node:crypto";

const KEY_BYTES = 24;

/** Creates an API key that can be given to the command line as it is: none begins with "-" like an option. */
export function createKey(createBytes: (size: number) => Buffer = randomBytes): string {
    const key = createBytes(KEY_BYTES).toString("base64url");
    return key.startsWith("-") ? createKey(createBytes) : key;
}
