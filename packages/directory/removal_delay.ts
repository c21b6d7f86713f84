import { monotonicMilliseconds } from "../clocks/mod.ts";

const CHECK_MILLISECONDS = 100;

/**
 * Delays the removal of servers whose registrations may have expired only because the store was unreachable. A running
 * server registers again, which cancels its removal.
 *
 * @example
 * ```ts
 * const delay = new RemovalDelay(id => directory.apply({ kind: "server-removed", id }));
 * delay.schedule("server-1", 1_500);
 * delay.cancel("server-1");
 * delay.close();
 * ```
 */
export class RemovalDelay {
    readonly #pending = new Map<string, number>();
    readonly #timer: NodeJS.Timeout;

    /**
     * @param remove Removes a server.
     * @param mayRemove Whether a removal that is due for some milliseconds may take place, since the store has been read
     * again in that time. Default: always.
     */
    constructor(
        private readonly remove: (id: string) => void,
        private readonly mayRemove: (overdueMilliseconds: number) => boolean = () => true,
    ) {
        this.#timer = setInterval(() => this.#removeDue(), CHECK_MILLISECONDS);
    }

    /**
     * Schedules the removal of a server.
     *
     * @param id Id of the server.
     * @param milliseconds The delay.
     */
    schedule(id: string, milliseconds: number): void {
        this.#pending.set(id, monotonicMilliseconds() + milliseconds);
    }

    /**
     * Cancels the removal of a server, since it has registered again.
     *
     * @param id Id of the server.
     */
    cancel(id: string): void {
        this.#pending.delete(id);
    }

    /** Stops the timer; pending removals do not take place. */
    close(): void {
        clearInterval(this.#timer);
    }

    #removeDue(): void {
        const now = monotonicMilliseconds();
        for (const [id, dueAt] of this.#pending) {
            if (now >= dueAt && this.mayRemove(now - dueAt)) {
                this.#pending.delete(id);
                this.remove(id);
            }
        }
    }
}
