import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { Directory, RegisteredServer } from "../directory/mod.ts";

/** Time in milliseconds for which a process that has left is remembered; a stream that it began may be taken up as long. */
const LIFETIME_MILLISECONDS = 64_000;
/** Largest number of processes that are remembered; the oldest are forgotten first. */
const MAXIMUM_PROCESSES = 4_096;

/** Remembers the engines whose process has ended or been replaced lately, as far as the directory has shown them. */
export class FormerEngines {
    #registered: ReadonlyMap<string, RegisteredServer> = new Map();
    /** Oldest first. */
    readonly #left: { server: RegisteredServer; at: number; }[] = [];

    constructor(private readonly directory: Pick<Directory, "servers">) {}

    /** Compares the directory with what it was at the last call. */
    observe(): void {
        const engines = new Map([...this.directory.servers].filter(([, { stage }]) => stage !== undefined));
        for (const [id, server] of this.#registered) {
            if (engines.get(id)?.startedAt !== server.startedAt) {
                this.#left.push({ server, at: monotonicMilliseconds() });
            }
        }
        this.#registered = engines;
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
