import { createHash } from "node:crypto";

const SHORTEST_ANSWER_TOKENS = 5;
const ANSWER_SPREAD_TOKENS = 100;

/** The answer that every engine stand-in gives to a prompt. */
interface Completion {
    /** Number of tokens after which the engine stops by itself. */
    tokenCount: number;
    /** Text of a token. */
    token: (index: number) => string;
}

/**
 * Computes the answer to a prompt.
 *
 * @param prompt The prompt.
 * @returns The answer.
 * @example
 * ```ts
 * expectedAnswer("Hello").token(0); // for instance "185f8db3-0 "
 * ```
 */
export function computeCompletion(prompt: string): Completion {
    const hash = createHash("sha256").update(prompt).digest();
    const name = hash.toString("hex").slice(0, 8);
    return {
        tokenCount: SHORTEST_ANSWER_TOKENS + hash.readUInt32BE(8) % ANSWER_SPREAD_TOKENS,
        token: index => `${name}-${index} `,
    };
}
