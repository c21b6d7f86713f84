import { monotonicMilliseconds, sleep } from "../clocks/mod.ts";
import type { Candidate, PlacementRequest } from "../placement/mod.ts";
import type { CapacityGrant } from "./_capacity_grant.ts";
import { findSelector } from "./find_selector.ts";
import type { ModelJob } from "./model_job.ts";
import type { ModelRouterOptions } from "./model_router_options.ts";
import { selectServers } from "./select_servers.ts";

const MAXIMUM_QUEUE_MILLISECONDS = 10_000;
/** Longest wait at one server before the candidates are chosen again. */
const MAXIMUM_WAIT_AT_SERVER_MILLISECONDS = 4_000;
const SERVERS_TRIED_WITHOUT_WAITING = 3;
const RETRY_PAUSE_MILLISECONDS = 100;

type Role = "prefill" | "decode";

/** Chooses servers for one model request and reserves their capacity. */
export class ServerAllocator {
    readonly #addresses = new Map<string, string>();
    readonly #queueDeadline = monotonicMilliseconds() + MAXIMUM_QUEUE_MILLISECONDS;

    constructor(
        private readonly job: ModelJob,
        private readonly options: ModelRouterOptions,
        private readonly signal: AbortSignal,
    ) {}

    /**
     * Reserves capacity of a server with a role, near a failure domain if possible. Waits in queues until the queue
     * deadline of the request, which covers prefill and decode together. Returns `"deadline"` also if the request is
     * aborted.
     */
    async reserve(role: Role, id: string, domain: string): Promise<CapacityGrant | "no-server" | "deadline"> {
        const pieces = role === "decode" ? this.#countPieces() : 1;
        const { policy } = this.options;
        while (monotonicMilliseconds() < this.#queueDeadline && !this.signal.aborted) {
            const candidates = policy.order(this.#listCandidates(role, pieces), this.placementRequest(domain));
            const [best] = candidates;
            if (!best) {
                return "no-server";
            }
            if (!policy.reservesCapacity) {
                return this.#grantWithoutReservation(best.name, id, pieces);
            }
            const grant = await this.#reserveAny(role, id, candidates, pieces);
            if (grant) {
                return grant;
            }
        }
        return "deadline";
    }

    /**
     * Records a grant at this instance alone. The server's home learns of the request from the engine and then queries
     * this instance; without the record it would cancel the request as an orphan.
     */
    #grantWithoutReservation(server: string, id: string, pieces: number): CapacityGrant {
        const { organisation } = this.job;
        this.options.reservations.heldReservations.add({ server, id, pieces, organisation, granted: true });
        return { server, id, pieces, requestedAt: monotonicMilliseconds() };
    }

    /** Requests a reservation from a few servers without waiting, then waits at the one with the shortest queue. */
    async #reserveAny(
        role: Role,
        id: string,
        candidates: Candidate[],
        pieces: number,
    ): Promise<CapacityGrant | undefined> {
        const tried = candidates.slice(0, SERVERS_TRIED_WITHOUT_WAITING);
        for (const { name } of tried) {
            const response = await this.#requestReservation(role, name, id, pieces, 0);
            if ("requestedAt" in response) {
                return response;
            }
        }
        const { reservations } = this.options;
        const queueable = tried
            .filter(({ name }) => (reservations.loadHint(name)?.avoidUntil ?? 0) === 0)
            .sort((left, right) =>
                queueLength(reservations.loadHint(left.name)) - queueLength(reservations.loadHint(right.name))
            );
        const [shortest] = queueable;
        if (!shortest) {
            await sleep(RETRY_PAUSE_MILLISECONDS, this.signal);
            return undefined;
        }
        const remaining = this.#queueDeadline - monotonicMilliseconds();
        const wait = Math.min(MAXIMUM_WAIT_AT_SERVER_MILLISECONDS, Math.max(0, remaining));
        const response = await this.#requestReservation(role, shortest.name, id, pieces, wait);
        if ("requestedAt" in response) {
            return response;
        }
        if (response.why === "full") {
            await sleep(RETRY_PAUSE_MILLISECONDS, this.signal);
        }
        return undefined;
    }

    #requestReservation(role: Role, server: string, id: string, pieces: number, waitMilliseconds: number) {
        return this.options.reservations.reserve({
            server,
            id,
            organisation: this.job.organisation,
            pieces,
            priority: this.priority(),
            suspect: this.options.suspects.isSuspectInRole(this.job.fingerprint, role),
            fingerprint: this.job.fingerprint,
            waitMilliseconds,
        });
    }

    #listCandidates(role: Role, pieces: number): Candidate[] {
        const { configuration, reservations } = this.options;
        const selector = findSelector(configuration.document, this.job.organisation, this.job.model);
        if (!selector) {
            return [];
        }
        const requirements = { role, model: this.job.model, labels: selector.servers };
        return selectServers(configuration.document, requirements)
            .filter(([, server]) => server.capacity >= pieces)
            .map(([name, server]) => {
                this.#addresses.set(name, server.address);
                return { name, server, hint: reservations.loadHint(name) };
            });
    }

    /** Returns the address of a former candidate. A server removed from the configuration may still run the request. */
    addressOf(server: string): string {
        return this.#addresses.get(server) ?? "";
    }

    /** Creates the description of the request for the placement policy. */
    placementRequest(failureDomain: string): PlacementRequest {
        return { model: this.job.model, prompt: this.job.prompt, failureDomain };
    }

    #countPieces(): number {
        const model = this.options.configuration.document.models[this.job.model];
        const tokens = this.job.promptTokens + this.job.maximumTokens;
        return Math.ceil(tokens / (model?.tokensPerPiece ?? tokens));
    }

    /** Returns the priority of the request; the highest number goes first. */
    priority(): number {
        const { document } = this.options.configuration;
        return findSelector(document, this.job.organisation, this.job.model)?.priority ?? 0;
    }

    /** Releases a grant. */
    release(grant: CapacityGrant, outcome: "done" | "unused" | "failed" | "orphaned"): void {
        const { policy, reservations } = this.options;
        if (policy.reservesCapacity) {
            void reservations.release(grant, outcome);
        }
        else {
            reservations.heldReservations.remove(grant.id, grant.server);
        }
    }
}

function queueLength(hint: { waiting: number; } | undefined): number {
    return hint?.waiting ?? 0;
}
