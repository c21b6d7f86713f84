import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { InstancePool, InstanceServer } from "../instances/mod.ts";
import type { Membership } from "../membership/mod.ts";
import { HeldReservations } from "./held_reservations.ts";
import { reservationParameters } from "./reservation_parameters.ts";
import { reservationTimes } from "./reservation_times.ts";
import type { ReserveRequest } from "./reserve_request.ts";
import type { ReserveResponse } from "./reserve_response.ts";
import type { ServerLoadHint } from "./server_load_hint.ts";

/** Added to the time in the queue, so that the home's own deadline passes first. */
const RESPONSE_MARGIN_MILLISECONDS = 500;
/** Time for which a server is avoided that is down or drained or whose home could not be reached. */
const AVOID_MILLISECONDS = 500;

/** A reservation granted to this instance. */
interface Grant {
    server: string;
    id: string;
    pieces: number;
    /** Monotonic time in milliseconds just before the reservation was requested. */
    requestedAt: number;
}

/**
 * Reserves capacity of backend servers through their homes.
 *
 * @example
 * ```ts
 * const reservations = new ReservationClient(membership, pool, server);
 * const grant = await reservations.reserve(request);
 * if (grant) {
 *     reservations.release(grant, "done");
 * }
 * ```
 */
export class ReservationClient {
    /** Reservations that this instance holds or has requested. */
    readonly heldReservations = new HeldReservations();
    readonly #hints = new Map<string, ServerLoadHint>();

    /**
     * @param membership Returns the home of a server.
     * @param pool Connections to the homes.
     * @param server Receives queries of homes about the reservations of this instance.
     */
    constructor(
        private readonly membership: Membership,
        private readonly pool: InstancePool,
        server: InstanceServer,
    ) {
        server.handle("requests.holdings", reservationParameters.holdings, async ({ servers }) => {
            return this.heldReservations.collectForNewHome(new Set(servers));
        });
        server.handle("requests.held", reservationParameters.held, async ({ ids }) => {
            return ids.filter(id => this.heldReservations.has(id));
        });
        server.handle("requests.void", reservationParameters.void, async ({ server: name, ids }) => {
            ids.forEach(id => this.heldReservations.markVoid(id, name));
            return {};
        });
    }

    /**
     * Reserves capacity.
     *
     * @param request The request.
     * @returns The grant, or a rejection; with `"not-home"` also if the home did not respond or the grant became void.
     */
    async reserve(request: ReserveRequest): Promise<Grant | ReserveResponse> {
        const requestedAt = monotonicMilliseconds();
        const { server, id, pieces, organisation, fingerprint } = request;
        this.heldReservations.add({ server, id, pieces, organisation, fingerprint });
        const response = await this.pool.call<ReserveResponse>(
            this.membership.homeOf({ group: `server/${server}`, index: 0 }),
            "servers.reserve",
            request,
            request.waitMilliseconds + RESPONSE_MARGIN_MILLISECONDS,
        );
        const now = monotonicMilliseconds();
        if (response.isOk()) {
            this.#recordResponse(server, response.value, now);
            if (response.value.granted && this.heldReservations.markGranted(id, server)) {
                return { server, id, pieces, requestedAt };
            }
            if (!response.value.granted) {
                this.heldReservations.remove(id, server);
                return response.value;
            }
        }
        void this.release({ server, id, pieces, requestedAt }, "unused");
        const rejection: ReserveResponse = { granted: false, why: "not-home", free: 0, waiting: 0 };
        this.#recordResponse(server, rejection, now);
        return rejection;
    }

    /**
     * Returns whether a grant may still be used.
     *
     * @param grant The grant.
     * @returns Whether it is neither expired nor void.
     */
    isGrantValid(grant: Grant): boolean {
        const isRecent = monotonicMilliseconds() - grant.requestedAt < reservationTimes.validityMilliseconds;
        return isRecent && this.heldReservations.isUsable(grant.id, grant.server);
    }

    /**
     * Releases a grant.
     *
     * @param grant The grant.
     * @param outcome How the use of the grant ended; see the parameters of `servers.release`.
     * @returns After a failure, whether the server has crashed; true if its home does not respond.
     */
    async release(grant: Grant, outcome: "done" | "unused" | "failed" | "orphaned"): Promise<boolean> {
        const { server, id } = grant;
        this.heldReservations.remove(id, server);
        const home = this.membership.homeOf({ group: `server/${server}`, index: 0 });
        const params = { server, id, outcome };
        if (outcome !== "failed") {
            // If this message is lost, the home finds the reservation when it reconciles its ledger.
            await this.pool.notify(home, "servers.release", params);
            return true;
        }
        const response = await this.pool.call<{ crashed: boolean; }>(home, "servers.release", params);
        return response.isErr() || response.value.crashed;
    }

    /**
     * Returns the last known load of a server.
     *
     * @param server Name of the server.
     * @returns The hint, or undefined if none is known.
     */
    loadHint(server: string): ServerLoadHint | undefined {
        return this.#hints.get(server);
    }

    /**
     * Records the load of a server that was received by other means, such as a load report.
     *
     * @param server Name of the server.
     * @param hint The hint.
     */
    recordLoadHint(server: string, hint: ServerLoadHint): void {
        this.#hints.set(server, hint);
    }

    #recordResponse(server: string, response: ReserveResponse, now: number): void {
        const shouldAvoid = response.why === "not-home" || response.why === "down" || response.why === "drained";
        this.recordLoadHint(server, {
            free: response.free,
            waiting: response.waiting,
            at: now,
            avoidUntil: shouldAvoid ? now + AVOID_MILLISECONDS : 0,
        });
    }
}
