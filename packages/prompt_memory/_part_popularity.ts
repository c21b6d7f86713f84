import type { PromptSection } from "../prompt_parts/mod.ts";

/** Prompts after which all counts are halved. */
const WINDOW_PROMPTS = 256;
/** Prompts that must have been seen before a part is told from a common one. */
const LEAST_PROMPTS = 8;
/** Number of prompts, and fraction of those of a service, that hold a part from which it is common to them. */
const COMMON_PROMPTS = 3;
const COMMON_FRACTION = 0.1;
/** Largest number of services whose parts are counted. */
const MAXIMUM_SERVICES = 64;

interface Counts {
    prompts: number;
    parts: Map<string, number>;
}

/** Tells the parts that many prompts begin with from those of a session. */
export class PartPopularity {
    readonly #services = new Map<string, Counts>();

    /** Counts the parts of a prompt. */
    record(service: string, sections: readonly PromptSection[]): void {
        let counts = this.#services.get(service);
        if (!counts) {
            if (this.#services.size >= MAXIMUM_SERVICES) {
                this.#services.clear();
            }
            counts = { prompts: 0, parts: new Map() };
            this.#services.set(service, counts);
        }
        counts.prompts++;
        for (const { key } of sections) {
            counts.parts.set(key, (counts.parts.get(key) ?? 0) + 1);
        }
        if (counts.prompts >= WINDOW_PROMPTS) {
            counts.prompts /= 2;
            for (const [key, count] of counts.parts) {
                if (count <= 1) {
                    counts.parts.delete(key);
                }
                else {
                    counts.parts.set(key, count / 2);
                }
            }
        }
    }

    /** Finds the first part that is not common; undefined if there is none or too little is known. */
    findSessionKey(service: string, sections: readonly PromptSection[]): string | undefined {
        const counts = this.#services.get(service);
        if (!counts || counts.prompts < LEAST_PROMPTS) {
            return undefined;
        }
        const common = Math.max(COMMON_PROMPTS, COMMON_FRACTION * counts.prompts);
        return sections.find(({ key }) => (counts.parts.get(key) ?? 0) < common)?.key;
    }
}
