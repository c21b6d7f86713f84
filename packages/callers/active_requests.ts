import type { ConfigurationDocument } from "../configuration/mod.ts";
import { Refusal } from "../verdicts/mod.ts";
import type { CallerIdentity } from "./caller_identity.ts";

/** A request in progress. */
interface ActiveRequest {
    caller: CallerIdentity;
    abortController: AbortController;
}

/**
 * Tracks the requests in progress at this instance: revoking an API key aborts its requests, and a shutdown waits for
 * all of them.
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
    #idleListeners: (() => void)[] = [];

    /** Number of requests in progress. */
    get size(): number {
        return this.#requests.size;
    }

    /**
     * Adds a request.
     *
     * @param caller Its caller.
     * @returns The entry, whose abort controller ends the request.
     */
    add(caller: CallerIdentity): ActiveRequest {
        const entry = { caller, abortController: new AbortController() };
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
            this.#idleListeners.splice(0).forEach(resolve => resolve());
        }
    }

    /**
     * Aborts the requests whose API key no longer belongs to their organisation.
     *
     * @param document Configuration in force.
     */
    abortRevoked(document: ConfigurationDocument): void {
        for (const { caller, abortController } of this.#requests) {
            if (caller.keyHash !== "" && document.keys[caller.keyHash]?.organisation !== caller.organisation) {
                abortController.abort(new Refusal(401, "key-withdrawn", "may-have-run", "The key was withdrawn"));
            }
        }
    }

    /**
     * Aborts every request that was authenticated by an API key.
     *
     * @param refusal The refusal that the callers get.
     */
    abortKeyed(refusal: Refusal): void {
        for (const { caller, abortController } of this.#requests) {
            if (caller.keyHash !== "") {
                abortController.abort(refusal);
            }
        }
    }

    /**
     * Aborts every request.
     *
     * @param refusal The refusal that the callers get.
     */
    abortAll(refusal: Refusal): void {
        this.#requests.forEach(({ abortController }) => abortController.abort(refusal));
    }

    /**
     * Waits until no request is in progress.
     *
     * @returns A promise that resolves then.
     */
    whenIdle(): Promise<void> {
        return this.#requests.size === 0
            ? Promise.resolve()
            : new Promise(resolve => this.#idleListeners.push(resolve));
    }
}
