import { monotonicMilliseconds, sleep } from "../clocks/mod.ts";
import type { Candidate, PlacementRequest } from "../placement/mod.ts";
import type { CapacityGrant } from "./_capacity_grant.ts";
import { findSelector } from "./find_selector.ts";
import type { ModelJob } from "./model_job.ts";
import type { ModelRouterOptions } from "./model_router_options.ts";
import { selectServers } from "./select_servers.ts";

const QUEUE_MILLISECONDS = 10_000;
const WAIT_SLICE_MILLISECONDS = 4_000;
const SERVERS_TRIED_WITHOUT_WAITING = 3;
const PAUSE_WITHOUT_SERVERS_MILLISECONDS = 100;

type Role = "prefill" | "decode";

/** Finds servers for one model request and reserves their capacity. */
export class ServerAllocator {
    readonly #addresses = new Map<string, string>();
    readonly #queueDeadline = monotonicMilliseconds() + QUEUE_MILLISECONDS;

    constructor(
        private readonly job: ModelJob,
        private readonly options: ModelRouterOptions,
        private readonly signal: AbortSignal,
    ) {}

    /** Reserves a server of a role, near a failure domain if possible; waits in its queue until the deadline. */
    async reserve(role: Role, id: string, domain: string): Promise<CapacityGrant | "no-server" | "deadline"> {
        const pieces = role === "decode" ? this.#pieces() : 1;
        const { policy } = this.options;
        while (monotonicMilliseconds() < this.#queueDeadline && !this.signal.aborted) {
            const candidates = policy.order(this.#candidates(role, pieces), this.placementRequest(domain));
            const [best] = candidates;
            if (!best) {
                return "no-server";
            }
            if (!policy.reservesCapacity) {
                return this.#holdUnreserved(best.name, id, pieces);
            }
            const grant = await this.#reserveAny(role, id, candidates, pieces);
            if (grant) {
                return grant;
            }
        }
        return "deadline";
    }

    /** The server's home does not know the request, but must not take it for one that is gone. */
    #holdUnreserved(server: string, id: string, pieces: number): CapacityGrant {
        const { organisation } = this.job;
        this.options.reservations.held.add({ server, id, pieces, organisation, granted: true });
        return { server, id, pieces, requestedAt: monotonicMilliseconds() };
    }

    /** Asks a few servers at once for room, then waits at the one with the shortest queue. */
    async #reserveAny(
        role: Role,
        id: string,
        candidates: Candidate[],
        pieces: number,
    ): Promise<CapacityGrant | undefined> {
        const tried = candidates.slice(0, SERVERS_TRIED_WITHOUT_WAITING);
        for (const { name } of tried) {
            const answer = await this.#ask(role, name, id, pieces, 0);
            if ("requestedAt" in answer) {
                return answer;
            }
        }
        const { reservations } = this.options;
        const queueable = tried
            .filter(({ name }) => (reservations.loadHint(name)?.avoidUntil ?? 0) === 0)
            .sort((left, right) =>
                queueOf(reservations.loadHint(left.name)) - queueOf(reservations.loadHint(right.name))
            );
        const [shortest] = queueable;
        if (!shortest) {
            await sleep(PAUSE_WITHOUT_SERVERS_MILLISECONDS, this.signal);
            return undefined;
        }
        const left = this.#queueDeadline - monotonicMilliseconds();
        const wait = Math.min(WAIT_SLICE_MILLISECONDS, Math.max(0, left));
        const answer = await this.#ask(role, shortest.name, id, pieces, wait);
        if ("requestedAt" in answer) {
            return answer;
        }
        if (answer.why === "full") {
            await sleep(PAUSE_WITHOUT_SERVERS_MILLISECONDS, this.signal);
        }
        return undefined;
    }

    #ask(role: Role, server: string, id: string, pieces: number, waitMilliseconds: number) {
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

    #candidates(role: Role, pieces: number): Candidate[] {
        const { configuration, reservations } = this.options;
        const selector = findSelector(configuration.document, this.job.organisation, this.job.model);
        if (!selector) {
            return [];
        }
        const wanted = { role, model: this.job.model, labels: selector.servers };
        return selectServers(configuration.document, wanted)
            .filter(([, server]) => server.capacity >= pieces)
            .map(([name, server]) => {
                this.#addresses.set(name, server.address);
                return { name, server, hint: reservations.loadHint(name) };
            });
    }

    /** A server that is taken out of the configuration is still reached for what runs there. */
    addressOf(server: string): string {
        return this.#addresses.get(server) ?? "";
    }

    /** Describes the request to the placement policy. */
    placementRequest(failureDomain: string): PlacementRequest {
        return { model: this.job.model, prompt: this.job.prompt, failureDomain };
    }

    #pieces(): number {
        const model = this.options.configuration.document.models[this.job.model];
        const tokens = this.job.promptTokens + this.job.maximumTokens;
        return Math.ceil(tokens / (model?.tokensPerPiece ?? tokens));
    }

    /** Priority of the request. */
    priority(): number {
        const { document } = this.options.configuration;
        return findSelector(document, this.job.organisation, this.job.model)?.priority ?? 0;
    }

    /** Gives a grant back. */
    release(grant: CapacityGrant, outcome: "done" | "unused" | "failed" | "orphaned"): void {
        const { policy, reservations } = this.options;
        if (policy.reservesCapacity) {
            void reservations.release(grant, outcome);
        }
        else {
            reservations.held.remove(grant.id, grant.server);
        }
    }
}

function queueOf(hint: { waiting: number; } | undefined): number {
    return hint?.waiting ?? 0;
}
