import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { InstancePool, InstanceServer } from "../instances/mod.ts";
import type { Membership } from "../membership/mod.ts";
import { HeldReservations } from "./held_reservations.ts";
import { reservationParameters } from "./reservation_parameters.ts";
import { reservationTimes } from "./reservation_times.ts";
import type { ReserveRequest } from "./reserve_request.ts";
import type { ReserveResponse } from "./reserve_response.ts";
import type { ServerLoadHint } from "./server_load_hint.ts";

const ANSWER_MARGIN_MILLISECONDS = 500;
const AVOID_MILLISECONDS = 500;

/** A reservation granted to this instance. */
interface Grant {
    server: string;
    id: string;
    pieces: number;
    askedAt: number;
}

/**
 * Reserves capacity of backend servers at their homes.
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
    readonly held = new HeldReservations();
    readonly #hints = new Map<string, ServerLoadHint>();

    /**
     * @param membership Says which instance is the home of a server.
     * @param pool Calls the homes.
     * @param server Answers homes that ask what this instance holds.
     */
    constructor(
        private readonly membership: Membership,
        private readonly pool: InstancePool,
        server: InstanceServer,
    ) {
        server.handle("requests.holdings", reservationParameters.holdings, async ({ servers }) => {
            return this.held.collectForNewHome(new Set(servers));
        });
        server.handle("requests.held", reservationParameters.held, async ({ ids }) => {
            return ids.filter(id => this.held.has(id));
        });
        server.handle("requests.void", reservationParameters.void, async ({ server: name, ids }) => {
            ids.forEach(id => this.held.markVoid(id, name));
            return {};
        });
    }

    /**
     * Reserves capacity.
     *
     * @param request The request.
     * @returns The grant, or the home's refusal.
     */
    async reserve(request: ReserveRequest): Promise<Grant | ReserveResponse> {
        const askedAt = monotonicMilliseconds();
        const { server, id, pieces, organisation, fingerprint } = request;
        this.held.add({ server, id, pieces, organisation, fingerprint });
        const answer = await this.pool.call<ReserveResponse>(
            this.membership.homeOf({ group: `server/${server}`, index: 0 }),
            "servers.reserve",
            request,
            request.waitMilliseconds + ANSWER_MARGIN_MILLISECONDS,
        );
        const now = monotonicMilliseconds();
        if (answer.isOk()) {
            this.#note(server, answer.value, now);
            if (answer.value.granted && this.held.markGranted(id, server)) {
                return { server, id, pieces, askedAt };
            }
            if (!answer.value.granted) {
                this.held.remove(id, server);
                return answer.value;
            }
        }
        void this.release({ server, id, pieces, askedAt }, "unused");
        const refusal: ReserveResponse = { granted: false, why: "not-home", free: 0, waiting: 0 };
        this.#note(server, refusal, now);
        return refusal;
    }

    /**
     * Tells whether a grant may still be used.
     *
     * @param grant The grant.
     * @returns Whether it is fresh enough.
     */
    isGrantValid(grant: Grant): boolean {
        const fresh = monotonicMilliseconds() - grant.askedAt < reservationTimes.validityMilliseconds;
        return fresh && this.held.isUsable(grant.id, grant.server);
    }

    /**
     * Gives a grant back.
     *
     * @param grant The grant.
     * @param outcome How it ended; see the parameters of `servers.release`.
     * @returns After a failure, whether the server has crashed; true if its home cannot say.
     */
    async release(grant: Grant, outcome: "done" | "unused" | "failed" | "orphaned"): Promise<boolean> {
        const { server, id } = grant;
        this.held.remove(id, server);
        const home = this.membership.homeOf({ group: `server/${server}`, index: 0 });
        const params = { server, id, outcome };
        if (outcome !== "failed") {
            // A lost release is made good when the home compares its ledger with the engine and its owners.
            await this.pool.notify(home, "servers.release", params);
            return true;
        }
        const answer = await this.pool.call<{ crashed: boolean; }>(home, "servers.release", params);
        return answer.isErr() || answer.value.crashed;
    }

    /**
     * Returns what was last heard of a server's load.
     *
     * @param server Name of the server.
     * @returns The hint, or undefined if nothing was heard.
     */
    loadHint(server: string): ServerLoadHint | undefined {
        return this.#hints.get(server);
    }

    /**
     * Takes over what was heard of a server's load in another way.
     *
     * @param server Name of the server.
     * @param hint The hint.
     */
    recordLoadHint(server: string, hint: ServerLoadHint): void {
        this.#hints.set(server, hint);
    }

    #note(server: string, answer: ReserveResponse, now: number): void {
        const avoid = answer.why === "not-home" || answer.why === "down" || answer.why === "drained";
        this.recordLoadHint(server, {
            free: answer.free,
            waiting: answer.waiting,
            at: now,
            avoidUntil: avoid ? now + AVOID_MILLISECONDS : 0,
        });
    }
}
