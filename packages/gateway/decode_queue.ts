import { err, ok, type Result } from "neverthrow";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { RegisteredServer, ServiceProfile } from "../directory/mod.ts";
import type { DecodeReservation } from "./decode_reservation.ts";
import type { EngineClient } from "./engine_client.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRefusal } from "./gateway_refusal.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { PrefillDispatcher } from "./prefill_dispatcher.ts";
import { ServerChooser } from "./server_chooser.ts";

/** Time in milliseconds after which waiting requests are looked at again without any news. */
const PERIOD_MILLISECONDS = 25;
/** Part of the longest answer that is reserved; engines preempt the newest request when more is needed. */
const OUTPUT_SHARE = 0.45;
/** Time in milliseconds that a request may wait for memory. */
const LONGEST_WAIT_MILLISECONDS = 540;
/** Time in milliseconds from the end of a prefill to the first event. */
const FIRST_EVENT_MILLISECONDS = 120;
/** Time in milliseconds that a prompt may wait for its engine, beyond its own computation, when memory is taken. */
const PREFILL_WAIT_MILLISECONDS = 200;
const RESERVE_TIMEOUT_MILLISECONDS = 250;
/** Time in milliseconds that an engine is passed over after it refused a reservation. */
const FULL_MILLISECONDS = 120;
/** Time in milliseconds that an engine is passed over after it did not answer. */
const SILENT_MILLISECONDS = 1_000;
/** Weight of the part of an engine's requests that fail, by which its free memory counts less. */
const LOSS_PENALTY = 6;

/** A request that waits for memory. */
interface Waiter {
    request: GatewayRequest;
    tokens: number;
    since: number;
    giveUpAt: number;
    /** Whether the first event can no longer come within the route's target. */
    late: boolean;
    excluded: ReadonlySet<string>;
    resolve: (result: Result<DecodeReservation, GatewayRefusal>) => void;
}

/**
 * Queue of model requests for memory of decode engines. The engine itself grants each reservation, so that instances
 * need not agree; the queue only offers a request to engines that are expected to have room.
 *
 * @example
 * ```ts
 * const queue = new DecodeQueue(services, caller, prefill);
 * const grant = await queue.acquire(request, new Set());
 * queue.close();
 * ```
 */
export class DecodeQueue {
    #waiters: Waiter[] = [];
    readonly #chooser: ServerChooser;
    #timer: NodeJS.Timeout | undefined;

    /**
     * @param services What the gateway works with.
     * @param caller Calls engines.
     * @param prefill Tells when a prompt can be computed.
     */
    constructor(
        private readonly services: GatewayContext,
        private readonly caller: EngineClient,
        private readonly prefill: PrefillDispatcher,
    ) {
        this.#chooser = new ServerChooser(services);
    }

    /** Number of waiting requests. */
    get length(): number {
        return this.#waiters.length;
    }

    /**
     * Waits for memory for a request.
     *
     * @param request The request.
     * @param excluded Ids of engines that must not be used.
     * @returns The reservation, or why there is none.
     */
    acquire(
        request: GatewayRequest,
        excluded: ReadonlySet<string>,
    ): Promise<Result<DecodeReservation, GatewayRefusal>> {
        return new Promise(resolve => {
            const since = monotonicMilliseconds();
            this.#waiters.push({
                request,
                tokens: Math.ceil(request.promptTokens + OUTPUT_SHARE * request.outputTokens),
                since,
                late: false,
                giveUpAt: Math.min(request.deadline, since + LONGEST_WAIT_MILLISECONDS),
                excluded,
                resolve,
            });
            this.dispatch();
        });
    }

    /** Offers waiting requests to engines that may have room, and ends those that have waited too long. */
    dispatch(): void {
        const now = monotonicMilliseconds();
        const remaining: Waiter[] = [];
        const blocked = new Set<string>();
        this.#order(now);
        for (const waiter of this.#waiters) {
            if (waiter.request.signal.aborted || now >= waiter.giveUpAt) {
                this.#giveUp(waiter);
                continue;
            }
            const service = waiter.request.service.name;
            const server = blocked.has(service) ? undefined : this.#choose(waiter, now);
            if (!server) {
                // Others must not overtake the head for good.
                blocked.add(service);
                remaining.push(waiter);
                continue;
            }
            void this.#reserve(waiter, server);
        }
        this.#waiters = remaining;
        clearTimeout(this.#timer);
        if (remaining.length > 0) {
            this.#timer = setTimeout(() => this.dispatch(), PERIOD_MILLISECONDS);
        }
    }

    /** Orders requests by rank; those that cannot meet their target any more go last. */
    #order(now: number): void {
        if (this.#waiters.length < 2) {
            return;
        }
        for (const waiter of this.#waiters) {
            const { promptTokens, receivedAt, route } = waiter.request;
            const needed = promptTokens / this.prefill.tokensPerMillisecond + FIRST_EVENT_MILLISECONDS;
            waiter.late = now + needed > receivedAt + route.targetLatencyMilliseconds;
        }
        this.#waiters.sort((left, right) =>
            Number(left.late) - Number(right.late)
            || left.request.priority - right.request.priority
            || left.since - right.since
        );
    }

    /** Ends the queue; waiting requests are refused. */
    close(): void {
        clearTimeout(this.#timer);
        this.#waiters.forEach(waiter => this.#giveUp(waiter));
        this.#waiters = [];
    }

    /**
     * Returns the memory of a reservation to the estimate.
     *
     * @param grant The reservation.
     */
    release(grant: DecodeReservation): void {
        const load = this.services.serverLoads.get(grant.server.id);
        load.reservedTokens -= grant.tokens;
        load.active--;
        this.dispatch();
    }

    #choose(waiter: Waiter, now: number): RegisteredServer | undefined {
        const { directory, serverLoads: book } = this.services;
        const service = waiter.request.service;
        const estimate = this.prefill.estimateMilliseconds(waiter.request);
        const prefillWait = estimate - waiter.request.promptTokens / this.prefill.tokensPerMillisecond;
        const engines = directory.usableServers(service.name).filter(({ stage }) => stage === "decode");
        const eligible = engines.filter(server => {
            const load = book.get(server.id);
            const { active, reservedTokens } = load.total();
            return load.avoidedUntil <= now && !waiter.excluded.has(server.id) && this.#chooser.admits(server)
                && active < server.slots && (service.engine?.memoryTokens ?? 0) - reservedTokens >= waiter.tokens
                && (prefillWait < PREFILL_WAIT_MILLISECONDS
                    || this.prefill.isLocalPrefillFaster(waiter.request, server, estimate));
        });
        let best: RegisteredServer | undefined;
        let highest = 0;
        for (const server of this.services.subset.narrow(eligible, engines.length)) {
            const load = book.get(server.id);
            const free = (service.engine?.memoryTokens ?? 0) - load.total().reservedTokens;
            const preference = free / (1 + LOSS_PENALTY * load.failureRate);
            if (preference > highest) {
                best = server;
                highest = preference;
            }
        }
        return best;
    }

    async #reserve(waiter: Waiter, server: RegisteredServer): Promise<void> {
        const { serverLoads: book, engineProtocol: engines, metrics } = this.services;
        const load = book.get(server.id);
        const { request, tokens } = waiter;
        const expectedFree = (request.service.engine?.memoryTokens ?? 0) - load.total().reservedTokens;
        load.reservedTokens += tokens;
        load.active++;
        const lifetime = reservationLifetime(request.service);
        const startedAt = monotonicMilliseconds();
        const answer = await this.caller.call(server, engines.reserve(tokens, lifetime), RESERVE_TIMEOUT_MILLISECONDS);
        const reservationId = answer.status === 200 ? engines.parseReservation(answer.body) : undefined;
        const result = reservationId !== undefined ? "granted" : answer.status === 0 ? "silent" : "refused";
        metrics.increment("decode_reservations_total", { result });
        this.services.logger.info("decode memory asked for", {
            request: request.id,
            engine: server.id,
            tokens,
            expectedFree,
            outcome: result,
            waitedMilliseconds: Math.round(monotonicMilliseconds() - waiter.since),
        });
        if (reservationId !== undefined) {
            metrics.observe("decode_wait", monotonicMilliseconds() - waiter.since);
            waiter.resolve(ok({ server, reservationId, tokens, expiresAt: startedAt + lifetime }));
            return;
        }
        load.reservedTokens -= tokens;
        load.active--;
        const silent = answer.status === 0;
        if (silent) {
            load.recordFailure();
        }
        if (answer.status === 421) {
            book.markGone(server.id);
            this.services.crashes.recordServerEnd(server.id);
        }
        load.avoidedUntil = monotonicMilliseconds() + (silent ? SILENT_MILLISECONDS : FULL_MILLISECONDS);
        this.#waiters.unshift(waiter);
        this.dispatch();
    }

    #giveUp(waiter: Waiter): void {
        const expired = monotonicMilliseconds() >= waiter.request.deadline;
        waiter.resolve(err({
            status: 503,
            reason: expired ? "deadline-passed" : "no-capacity",
            verdict: "not-run",
            message: "No decode engine has memory for the request",
            retryAfterMilliseconds: 1_500,
        }));
    }
}

function reservationLifetime(service: ServiceProfile): number {
    return service.engine?.maximumReservationMilliseconds ?? 0;
}
