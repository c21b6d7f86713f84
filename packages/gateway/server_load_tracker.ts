import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { Directory, RegisteredServer } from "../directory/mod.ts";
import { ServerLoad } from "./server_load.ts";

/** Time in milliseconds in which the entry of a server that is gone has been removed. */
const GONE_MILLISECONDS = 6_000;
/** Length in milliseconds of the window in which a cold server's requests are counted. */
const COLD_WINDOW_MILLISECONDS = 1_000;

/**
 * What this instance knows of the load and the health of each backend server, its peers' part included.
 *
 * @example
 * ```ts
 * const book = new ServerBook(directory);
 * book.of("server-1").active;
 * ```
 */
export class ServerLoadTracker {
    readonly #loads = new Map<string, ServerLoad>();
    /** Servers that are no longer at their addresses, with their registered starts. */
    readonly #gone = new Map<string, number>();

    /**
     * @param directory Registered servers; the book forgets those that are no longer registered.
     */
    constructor(private readonly directory: Directory) {
        directory.onChange(() => this.#forget());
    }

    /**
     * Returns the load of a server.
     *
     * @param id Name of the server.
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
     * @returns Names and loads.
     */
    entries(): Iterable<[string, ServerLoad]> {
        return this.#loads.entries();
    }

    /**
     * Keeps new requests away from a server for a time.
     *
     * @param id Name of the server.
     * @param milliseconds The time.
     */
    avoid(id: string, milliseconds: number): void {
        const load = this.get(id);
        load.avoidedUntil = Math.max(load.avoidedUntil, monotonicMilliseconds() + milliseconds);
    }

    /**
     * Notes that another server answers at a server's address; it gets no requests until it registers again.
     *
     * @param id Name of the server.
     */
    markGone(id: string): void {
        this.#gone.set(id, this.directory.servers.get(id)?.startedAt ?? 0);
        this.avoid(id, GONE_MILLISECONDS);
    }

    /**
     * Lists the servers at whose addresses other servers answer.
     *
     * @returns Their ids.
     */
    gone(): string[] {
        return [...this.#gone.keys()];
    }

    /**
     * Notes what a peer has under way, in place of what it had before.
     *
     * @param peer Name of the peer.
     * @param loads Requests, reserved tokens, prefill tokens, recent failures and recent successes by server.
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
     * Tells whether a request may be sent to a server now, given what a cold server bears.
     *
     * @param server The server.
     * @param coldLimit Returns the requests that this instance may send to the server in one second while it is cold.
     * @returns Whether it may.
     */
    admits(server: RegisteredServer, coldLimit: () => number): boolean {
        if (!this.directory.isCold(server.id)) {
            return true;
        }
        return this.get(server.id).countSendsSince(monotonicMilliseconds() - COLD_WINDOW_MILLISECONDS) < coldLimit();
    }

    #forget(): void {
        for (const [id, startedAt] of this.#gone) {
            const listed = this.directory.servers.get(id);
            if (!listed || listed.startedAt !== startedAt) {
                this.#gone.delete(id);
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
