import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { Directory, RegisteredServer } from "../directory/mod.ts";

/** Time in milliseconds for which a process that has left is remembered; a stream that it began may be taken up as long. */
const LIFETIME_MILLISECONDS = 64_000;
/** Largest number of processes that are remembered; the oldest are forgotten first. */
const MAXIMUM_PROCESSES = 4_096;

/** Remembers the engines whose process has ended or been replaced lately, as far as the directory has shown them. */
export class FormerEngines {
    readonly #registered = new Map<string, RegisteredServer>();
    /** Oldest first. */
    readonly #left: { server: RegisteredServer; at: number; }[] = [];

    constructor(private readonly directory: Pick<Directory, "servers">) {}

    /** Compares the directory with what it was at the last call. */
    observe(): void {
        const { servers } = this.directory;
        const at = monotonicMilliseconds();
        let engines = 0;
        for (const server of servers.values()) {
            if (server.stage === undefined) {
                continue;
            }
            engines++;
            const known = this.#registered.get(server.id);
            if (known !== server) {
                this.#registered.set(server.id, server);
                if (known && known.startedAt !== server.startedAt) {
                    this.#left.push({ server: known, at });
                }
            }
        }
        if (engines < this.#registered.size) {
            for (const [id, server] of this.#registered) {
                if (servers.get(id)?.stage === undefined) {
                    this.#registered.delete(id);
                    this.#left.push({ server, at });
                }
            }
        }
        this.#left.splice(0, Math.max(0, this.#left.length - MAXIMUM_PROCESSES));
        this.#removeExpired();
    }

    /** Lists the engines, as they were registered. */
    list(): RegisteredServer[] {
        this.#removeExpired();
        return this.#left.map(({ server }) => server);
    }

    #removeExpired(): void {
        const oldest = monotonicMilliseconds() - LIFETIME_MILLISECONDS;
        while (this.#left[0] && this.#left[0].at < oldest) {
            this.#left.shift();
        }
    }
}
