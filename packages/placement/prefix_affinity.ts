import { createHash } from "node:crypto";

const CHUNK_CHARACTERS = 1_024;
const MAXIMUM_CHUNKS = 64;
const MAXIMUM_ENTRIES = 20_000;

/**
 * Remembers at which server the beginning of a prompt was computed last, by a chain of hashes of its chunks.
 *
 * @example
 * ```ts
 * const affinity = new PrefixAffinity();
 * affinity.note("model", prompt, "prefill-1");
 * affinity.find("model", prompt); // { server: "prefill-1", chunks: 3 }
 * ```
 */
export class PrefixAffinity {
    readonly #servers = new Map<string, string>();

    /**
     * Notes that a prompt was computed.
     *
     * @param model Name of the model.
     * @param prompt The prompt.
     * @param server Name of the server.
     */
    recordPrefix(model: string, prompt: string, server: string): void {
        for (const hash of chain(model, prompt)) {
            this.#servers.delete(hash);
            this.#servers.set(hash, server);
        }
        while (this.#servers.size > MAXIMUM_ENTRIES) {
            const [oldest] = this.#servers.keys();
            this.#servers.delete(oldest ?? "");
        }
    }

    /**
     * Finds the server that computed the longest known beginning of a prompt.
     *
     * @param model Name of the model.
     * @param prompt The prompt.
     * @returns The server and the number of chunks that agree, or undefined.
     */
    find(model: string, prompt: string): { server: string; chunks: number; } | undefined {
        const hashes = chain(model, prompt);
        for (let chunks = hashes.length; chunks > 0; chunks--) {
            const server = this.#servers.get(hashes[chunks - 1] ?? "");
            if (server !== undefined) {
                return { server, chunks };
            }
        }
        return undefined;
    }
}

function chain(model: string, prompt: string): string[] {
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
