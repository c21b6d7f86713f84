import type { PromptSection } from "../prompt_parts/mod.ts";

/** Time in milliseconds after which a part that was not used again is no longer believed to be kept. */
const LIFETIME_MILLISECONDS = 60_000;
/** Largest number of parts of one engine. */
const MAXIMUM_PARTS = 64;

/** Parts that one engine is believed to keep; the least recently used ones yield. */
export class KeptParts {
    readonly #parts = new Map<string, { tokens: number; at: number; }>();
    #tokens = 0;

    /** Records that an engine has read a prompt. */
    record(sections: readonly PromptSection[], capacityTokens: number, now: number): void {
        // The beginning is recorded last, since the end of a prompt is of no use without it.
        for (const { key, tokens } of [...sections].reverse()) {
            this.#remove(key);
            this.#parts.set(key, { tokens, at: now });
            this.#tokens += tokens;
        }
        for (const [key, { at }] of this.#parts) {
            if (
                this.#tokens <= capacityTokens && this.#parts.size <= MAXIMUM_PARTS && now - at < LIFETIME_MILLISECONDS
            ) {
                break;
            }
            this.#remove(key);
        }
    }

    /** Tokens of the parts at the beginning of a prompt that are kept without a gap. */
    countBeginning(sections: readonly PromptSection[], now: number): number {
        let tokens = 0;
        for (const section of sections) {
            const part = this.#parts.get(section.key);
            if (!part || now - part.at >= LIFETIME_MILLISECONDS) {
                break;
            }
            tokens += section.tokens;
        }
        return tokens;
    }

    #remove(key: string): void {
        const part = this.#parts.get(key);
        if (part) {
            this.#tokens -= part.tokens;
            this.#parts.delete(key);
        }
    }
}
