import type { VersionObservation } from "./version_observation.ts";

/**
 * Processes on the list that have begun streams before their entry came. Each counts as a version of its own until its entry tells its
 * version, or until its streams can't be taken up any more.
 */
export class UnregisteredProcesses {
    /** By server: start of its process, and the time in milliseconds at which it was first seen on the list. */
    readonly #known = new Map<string, { startedAt: number; at: number; }>();

    /** Names of the processes, as versions of their own. */
    get names(): string[] {
        return [...this.#known].map(([server, { startedAt }]) => `${server} started ${startedAt}`);
    }

    /** Takes note of the list and of the entries. */
    observe({ registered: { servers, lifetimeMilliseconds }, list, now }: VersionObservation): void {
        for (const [server, startedAt] of list.unregistered) {
            if (this.#known.get(server)?.startedAt !== startedAt) {
                this.#known.set(server, { startedAt, at: now });
            }
        }
        for (const [server, { startedAt, at }] of this.#known) {
            const isRegistered = servers.some(({ id, startedAt: start }) => id === server && start === startedAt);
            if (isRegistered || now - at >= lifetimeMilliseconds || list.unregistered.get(server) !== startedAt) {
                this.#known.delete(server);
            }
        }
    }

    /** Processes that the list must still hold. */
    kept(): Map<string, number> {
        return new Map([...this.#known].map(([server, { startedAt }]) => [server, startedAt]));
    }
}
