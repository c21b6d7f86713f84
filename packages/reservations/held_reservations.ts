import type { HeldReservation } from "./held_reservation.ts";

/**
 * The reservations that this instance holds or has requested, by request and backend server.
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

    /** Number of requests with at least one reservation. */
    get size(): number {
        return this.#byId.size;
    }

    /**
     * Adds a reservation. Must be called before the reservation is requested from the home.
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
     * Returns whether a request has a reservation at a server.
     *
     * @param id Id of the request.
     * @param server Name of the backend server; any if absent.
     * @returns Whether there is a reservation, granted or only requested.
     */
    has(id: string, server?: string): boolean {
        const servers = this.#byId.get(id);
        return servers !== undefined && (server === undefined || servers.has(server));
    }

    /**
     * Marks a reservation as no longer valid.
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
     * Returns whether a reservation may be used.
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
     * Marks a reservation as granted by the home.
     *
     * @param id Id of the request.
     * @param server Name of the backend server.
     * @returns Whether the grant may be used; false if the reservation was removed or became void meanwhile.
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
     * Returns the granted reservations at some servers for their new home. Reservations that are only requested become
     * void, since a grant of the former home may still be in transit and must not be used.
     *
     * @param servers Names of the servers.
     * @returns The granted reservations.
     */
    collectForNewHome(servers: Set<string>): HeldReservation[] {
        const reservations = [...this.#byId.values()].flatMap(held => [...held.values()]);
        const atServers = reservations.filter(({ server }) => servers.has(server));
        const requested = atServers.filter(({ granted }) => granted !== true);
        requested.forEach(({ id, server }) => this.markVoid(id, server));
        return atServers.filter(({ granted }) => granted === true);
    }
}
