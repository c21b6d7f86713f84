import { monotonicMilliseconds } from "../clocks/mod.ts";

const CHECK_MILLISECONDS = 100;

/**
 * Holds back the removal of servers whose entries may have lapsed only because the store was away; a server that lives
 * registers again.
 *
 * @example
 * ```ts
 * const delay = new RemovalDelay(id => directory.apply({ kind: "server-removed", id }));
 * delay.hold("server-1", 1_500);
 * delay.cancel("server-1");
 * delay.close();
 * ```
 */
export class RemovalDelay {
    readonly #pending = new Map<string, number>();
    readonly #timer: NodeJS.Timeout;

    /**
     * @param remove Removes a server.
     */
    constructor(private readonly remove: (id: string) => void) {
        this.#timer = setInterval(() => this.#check(), CHECK_MILLISECONDS);
    }

    /**
     * Removes a server after a delay, unless it is cancelled before.
     *
     * @param id Name of the server.
     * @param milliseconds The delay.
     */
    schedule(id: string, milliseconds: number): void {
        this.#pending.set(id, monotonicMilliseconds() + milliseconds);
    }

    /**
     * Forgets a removal, since the server is registered again.
     *
     * @param id Name of the server.
     */
    cancel(id: string): void {
        this.#pending.delete(id);
    }

    /** Stops; pending removals are forgotten. */
    close(): void {
        clearInterval(this.#timer);
    }

    #check(): void {
        const now = monotonicMilliseconds();
        for (const [id, at] of this.#pending) {
            if (now >= at) {
                this.#pending.delete(id);
                this.remove(id);
            }
        }
    }
}
