import type { HeldReservation } from "./held_reservation.ts";

/**
 * The reservations of this instance, for homes that ask.
 *
 * @example
 * ```ts
 * const held = new HeldReservations();
 * held.add({ server: "decode-1", id: "a", organisation: "north", pieces: 1 });
 * held.has("a"); // true
 * ```
 */
export class HeldReservations {
    readonly #byId = new Map<string, Map<string, HeldReservation>>();

    /** Number of requests that hold something. */
    get size(): number {
        return this.#byId.size;
    }

    /**
     * Notes a reservation before it is asked for.
     *
     * @param reservation The reservation.
     */
    add(reservation: HeldReservation): void {
        const servers = this.#byId.get(reservation.id) ?? new Map<string, HeldReservation>();
        servers.set(reservation.server, reservation);
        this.#byId.set(reservation.id, servers);
    }

    /**
     * Removes a reservation.
     *
     * @param id Id of the request.
     * @param server Name of the backend server.
     */
    remove(id: string, server: string): void {
        const servers = this.#byId.get(id);
        servers?.delete(server);
        if (servers?.size === 0) {
            this.#byId.delete(id);
        }
    }

    /**
     * Tells whether a request holds anything at a server.
     *
     * @param id Id of the request.
     * @param server Name of the backend server; any if absent.
     * @returns Whether it does.
     */
    has(id: string, server?: string): boolean {
        const servers = this.#byId.get(id);
        return servers !== undefined && (server === undefined || servers.has(server));
    }

    /**
     * Notes that a reservation must not be used any more.
     *
     * @param id Id of the request.
     * @param server Name of the backend server.
     */
    markVoid(id: string, server: string): void {
        const reservation = this.#byId.get(id)?.get(server);
        if (reservation) {
            reservation.void = true;
        }
    }

    /**
     * Tells whether a reservation may be used.
     *
     * @param id Id of the request.
     * @param server Name of the backend server.
     * @returns Whether it is held and not void.
     */
    isUsable(id: string, server: string): boolean {
        const reservation = this.#byId.get(id)?.get(server);
        return reservation !== undefined && reservation.void !== true;
    }

    /**
     * Notes that the home has granted a reservation.
     *
     * @param id Id of the request.
     * @param server Name of the backend server.
     * @returns Whether the grant may be used: not if another home has taken over since it was asked for.
     */
    markGranted(id: string, server: string): boolean {
        const reservation = this.#byId.get(id)?.get(server);
        if (!reservation || reservation.void === true) {
            return false;
        }
        reservation.granted = true;
        return true;
    }

    /**
     * Lists the granted reservations at some servers for their new home. Those only asked for become void, as a grant
     * of the former home that is still on its way must not be used.
     *
     * @param servers Names of the servers.
     * @returns The granted reservations.
     */
    collectForNewHome(servers: Set<string>): HeldReservation[] {
        const all = [...this.#byId.values()].flatMap(held => [...held.values()]);
        const concerned = all.filter(({ server }) => servers.has(server));
        const asked = concerned.filter(({ granted }) => granted !== true);
        asked.forEach(({ id, server }) => this.markVoid(id, server));
        return concerned.filter(({ granted }) => granted === true);
    }
}
