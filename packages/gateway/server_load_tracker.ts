import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { Directory, RegisteredServer } from "../directory/mod.ts";
import { ServerLoad } from "./server_load.ts";

/** Time in milliseconds that a terminated server is avoided; its registration is removed within that time. */
const TERMINATED_AVOID_MILLISECONDS = 6_000;
/** Length in milliseconds of the window in which the requests to a cold server are counted. */
const COLD_WINDOW_MILLISECONDS = 1_000;

/**
 * Tracks the load and health of each backend server, including what peers report.
 *
 * @example
 * ```ts
 * const serverLoads = new ServerLoadTracker(directory);
 * serverLoads.get("server-1").active;
 * ```
 */
export class ServerLoadTracker {
    readonly #loads = new Map<string, ServerLoad>();
    /** Servers that no longer run at their addresses, with their registered start times. */
    readonly #terminated = new Map<string, number>();

    /**
     * @param directory Registered servers; the loads of unregistered ones are dropped.
     */
    constructor(private readonly directory: Directory) {
        directory.onBatch(() => this.#removeUnregistered());
    }

    /**
     * Returns the load of a server.
     *
     * @param id Id of the server.
     * @returns The load, which the caller may change.
     */
    get(id: string): ServerLoad {
        let load = this.#loads.get(id);
        if (!load) {
            load = new ServerLoad();
            this.#loads.set(id, load);
        }
        return load;
    }

    /**
     * Lists the servers whose load is known.
     *
     * @returns Ids and loads.
     */
    entries(): Iterable<[string, ServerLoad]> {
        return this.#loads.entries();
    }

    /**
     * Excludes a server from new requests for a time.
     *
     * @param id Id of the server.
     * @param milliseconds The time.
     */
    avoid(id: string, milliseconds: number): void {
        const load = this.get(id);
        load.avoidedUntil = Math.max(load.avoidedUntil, monotonicMilliseconds() + milliseconds);
    }

    /**
     * Marks a server as terminated, since another server responds at its address. It gets no requests until it
     * registers again. Has no effect if another start of the server is registered meanwhile.
     *
     * @param id Id of the server.
     * @param startedAt Unix time in milliseconds of the server's start, as it was registered when it was called. Default:
     *     that of its present registration.
     */
    markTerminated(id: string, startedAt?: number): void {
        const registeredAt = this.directory.servers.get(id)?.startedAt;
        if (startedAt !== undefined && registeredAt !== undefined && registeredAt !== startedAt) {
            return;
        }
        this.#terminated.set(id, startedAt ?? registeredAt ?? 0);
        this.avoid(id, TERMINATED_AVOID_MILLISECONDS);
    }

    /** Forgets failures and avoidance that are due to isolation; servers that are known to have ended stay avoided. */
    forgetFaults(): void {
        for (const [id, load] of this.#loads) {
            if (!this.#terminated.has(id)) {
                load.reset();
            }
        }
    }

    /**
     * Lists the servers at whose addresses other servers respond.
     *
     * @returns Their ids and the Unix times in milliseconds of the starts that have ended.
     */
    gone(): [string, number][] {
        return [...this.#terminated];
    }

    /**
     * Excludes servers from new requests for a time after peers have reported that their starts have ended. One that is
     * registered with another start runs; the peer may have read the store before that.
     *
     * @param gone Ids and Unix times in milliseconds of the starts.
     * @param milliseconds The time.
     */
    avoidGone(gone: readonly [string, number][], milliseconds: number): void {
        for (const [id, startedAt] of gone) {
            if ((this.directory.servers.get(id)?.startedAt ?? startedAt) === startedAt) {
                this.avoid(id, milliseconds);
            }
        }
    }

    /**
     * Replaces the loads that a peer causes.
     *
     * @param peer Name of the peer.
     * @param loads Active requests, reserved tokens, prefill tokens, recent failures and recent successes by server id.
     */
    setPeerLoads(peer: string, loads: Record<string, [number, number, number, number, number]>): void {
        for (const [id, load] of this.#loads) {
            if (!loads[id]) {
                load.removePeerLoad(peer);
            }
        }
        for (const [id, [active, reservedTokens, prefillTokens, failures, successes]] of Object.entries(loads)) {
            this.get(id).setPeerLoad(peer, { active, reservedTokens, prefillTokens, failures, successes });
        }
    }

    /**
     * Returns whether a request may be sent to a server now, given the limit of a cold server.
     *
     * @param server The server.
     * @param coldLimit Returns the number of requests that this instance may send to the cold server in one second.
     * @returns Whether it may.
     */
    admits(server: RegisteredServer, coldLimit: () => number): boolean {
        if (!this.directory.isCold(server.id)) {
            return true;
        }
        return this.get(server.id).countSendsSince(monotonicMilliseconds() - COLD_WINDOW_MILLISECONDS) < coldLimit();
    }

    #removeUnregistered(): void {
        for (const [id, startedAt] of this.#terminated) {
            const registered = this.directory.servers.get(id);
            if (!registered || registered.startedAt !== startedAt) {
                this.#terminated.delete(id);
                this.#loads.get(id)?.reset();
            }
        }
        for (const [id, load] of this.#loads) {
            if (!this.directory.servers.has(id) && load.active === 0) {
                this.#loads.delete(id);
            }
        }
    }
}
