import type { ConfigurationDocument } from "../configuration/mod.ts";
import { Refusal } from "../verdicts/mod.ts";
import type { CallerIdentity } from "./caller_identity.ts";

/** A request under way. */
interface ActiveRequest {
    caller: CallerIdentity;
    abort: AbortController;
}

/**
 * The requests under way at this instance, so that a withdrawn key ends them and a shutdown waits for them.
 *
 * @example
 * ```ts
 * const active = new ActiveRequests();
 * const entry = active.add(caller);
 * active.remove(entry);
 * ```
 */
export class ActiveRequests {
    readonly #requests = new Set<ActiveRequest>();
    #idle: (() => void)[] = [];

    /** Number of requests under way. */
    get size(): number {
        return this.#requests.size;
    }

    /**
     * Adds a request.
     *
     * @param caller Its caller.
     * @returns The entry, whose signal ends the request.
     */
    add(caller: CallerIdentity): ActiveRequest {
        const entry = { caller, abort: new AbortController() };
        this.#requests.add(entry);
        return entry;
    }

    /**
     * Removes a request that has ended.
     *
     * @param entry The entry.
     */
    remove(entry: ActiveRequest): void {
        this.#requests.delete(entry);
        if (this.#requests.size === 0) {
            this.#idle.splice(0).forEach(resolve => resolve());
        }
    }

    /**
     * Ends the requests whose key no longer belongs to their organisation.
     *
     * @param document Configuration in force.
     */
    abortRevoked(document: ConfigurationDocument): void {
        for (const { caller, abort } of this.#requests) {
            if (caller.keyHash !== "" && document.keys[caller.keyHash]?.organisation !== caller.organisation) {
                abort.abort(new Refusal(401, "key-withdrawn", "may-have-run", "The key was withdrawn"));
            }
        }
    }

    /**
     * Ends every request that came with a key.
     *
     * @param refusal What the callers are told.
     */
    abortKeyed(refusal: Refusal): void {
        for (const { caller, abort } of this.#requests) {
            if (caller.keyHash !== "") {
                abort.abort(refusal);
            }
        }
    }

    /**
     * Waits until nothing is under way.
     *
     * @returns A promise that resolves then.
     */
    whenIdle(): Promise<void> {
        return this.#requests.size === 0 ? Promise.resolve() : new Promise(resolve => this.#idle.push(resolve));
    }
}
