import { createHash } from "node:crypto";

const CHUNK_CHARACTERS = 1_024;
const MAXIMUM_CHUNKS = 64;
const MAXIMUM_PREFIXES = 20_000;

/**
 * Index of the prefill servers that last computed each known prompt prefix. A prefix is identified by a chain of hashes
 * of its chunks; the oldest entries are evicted.
 *
 * @example
 * ```ts
 * const affinity = new PrefixAffinity();
 * affinity.recordPrefix("model", prompt, "prefill-1");
 * affinity.find("model", prompt); // { server: "prefill-1", chunks: 3 }
 * ```
 */
export class PrefixAffinity {
    readonly #serversByHash = new Map<string, string>();

    /**
     * Records that a server has computed a prompt and each of its prefixes.
     *
     * @param model Name of the model.
     * @param prompt The prompt.
     * @param server Name of the server.
     */
    recordPrefix(model: string, prompt: string, server: string): void {
        for (const hash of hashPrefixes(model, prompt)) {
            this.#serversByHash.delete(hash);
            this.#serversByHash.set(hash, server);
        }
        while (this.#serversByHash.size > MAXIMUM_PREFIXES) {
            const [oldest] = this.#serversByHash.keys();
            this.#serversByHash.delete(oldest ?? "");
        }
    }

    /**
     * Finds the server that computed the longest known prefix of a prompt.
     *
     * @param model Name of the model.
     * @param prompt The prompt.
     * @returns The server and the number of matching chunks, or undefined if no prefix is known.
     */
    find(model: string, prompt: string): { server: string; chunks: number; } | undefined {
        const hashes = hashPrefixes(model, prompt);
        for (let chunks = hashes.length; chunks > 0; chunks--) {
            const server = this.#serversByHash.get(hashes[chunks - 1] ?? "");
            if (server !== undefined) {
                return { server, chunks };
            }
        }
        return undefined;
    }
}

function hashPrefixes(model: string, prompt: string): string[] {
    const hashes: string[] = [];
    let previous = model;
    const chunks = Math.min(MAXIMUM_CHUNKS, Math.floor(prompt.length / CHUNK_CHARACTERS));
    for (let index = 0; index < chunks; index++) {
        const chunk = prompt.slice(index * CHUNK_CHARACTERS, (index + 1) * CHUNK_CHARACTERS);
        previous = createHash("sha1").update(previous).update(chunk).digest("base64");
        hashes.push(previous);
    }
    return hashes;
}
