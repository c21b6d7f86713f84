import { createHash } from "node:crypto";

const SHORTEST_COMPLETION_TOKENS = 5;
const COMPLETION_SPREAD_TOKENS = 100;

/** The completion that every engine stand-in generates for a prompt. */
interface Completion {
    /** Number of tokens of the whole completion, if no limit ends it earlier. */
    tokenCount: number;
    /** Returns the text of a token. */
    token: (index: number) => string;
}

/**
 * Computes the completion of a prompt.
 *
 * @param prompt The prompt.
 * @returns The completion, always the same for the same prompt.
 * @example
 * ```ts
 * computeCompletion("Hello").token(0); // for instance "185f8db3-0 "
 * ```
 */
export function computeCompletion(prompt: string): Completion {
    const hash = createHash("sha256").update(prompt).digest();
    const prefix = hash.toString("hex").slice(0, 8);
    return {
        tokenCount: SHORTEST_COMPLETION_TOKENS + hash.readUInt32BE(8) % COMPLETION_SPREAD_TOKENS,
        token: index => `${prefix}-${index} `,
    };
}
