import { err, ok, type Result } from "neverthrow";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import type { DecodeReservation } from "./decode_reservation.ts";
import { DecodeReserver } from "./decode_reserver.ts";
import type { EngineClient } from "./engine_client.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRefusal } from "./gateway_refusal.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { PrefillDispatcher } from "./prefill_dispatcher.ts";
import { ServerChooser } from "./server_chooser.ts";

/** Time in milliseconds after which the queue is checked again if no event triggers it. */
const CHECK_MILLISECONDS = 25;
/** Fraction of the maximum output tokens that is reserved; an engine that needs more preempts its newest request. */
const OUTPUT_FRACTION = 0.45;
/** Longest time in milliseconds that a request waits for memory before its answer has begun. */
const MAXIMUM_WAIT_MILLISECONDS = 540;
/** Expected time in milliseconds from the end of a prefill to the first event. */
const FIRST_EVENT_MILLISECONDS = 120;
/** Longest wait in milliseconds at a prefill engine, without the prefill itself, at which memory is reserved. */
const MAXIMUM_PREFILL_WAIT_MILLISECONDS = 200;
/** Weight of an engine's failure rate, which reduces the free memory that it is compared by. */
const FAILURE_PENALTY = 6;

/** A request that waits for memory. */
interface Waiter {
    request: GatewayRequest;
    tokens: number;
    /** Monotonic time in milliseconds at which the wait began. */
    since: number;
    /** Monotonic time in milliseconds at which the request is refused. */
    giveUpAt: number;
    /** Whether the first event can no longer meet the route's target latency. */
    late: boolean;
    excluded: ReadonlySet<string>;
    /** Software version of the engines that may be used; undefined for all. */
    softwareVersion: string | undefined;
    /** Whether a part of the answer has been sent, so that the request can no longer be refused. */
    answerBegun: boolean;
    /** Whether the memory is still of use. */
    isWanted: () => boolean;
    resolve: (result: Result<DecodeReservation, GatewayRefusal>) => void;
    reject: (error: unknown) => void;
}

/** Properties of a wait for memory. */
interface AcquireOptions {
    /** Whether a part of the answer has been sent; then the wait goes first and lasts as long as the request. */
    answerBegun?: boolean;
    /** Software version of the engines that may be used. Default: all. */
    softwareVersion?: string | undefined;
    /** Whether the memory is still of use; the wait ends soon after it returns false. Default: always. */
    isWanted?: () => boolean;
}

/**
 * Queue of model requests that wait for memory of a decode engine. The engine itself grants each reservation, so that
 * instances need not coordinate; the queue tries only engines that are expected to have enough free memory.
 *
 * @example
 * ```ts
 * const queue = new DecodeQueue(context, engineClient, prefillDispatcher);
 * const reservation = await queue.acquire(request, new Set());
 * queue.close();
 * ```
 */
export class DecodeQueue {
    #waiters: Waiter[] = [];
    readonly #chooser: ServerChooser;
    readonly #reserver: DecodeReserver;
    #timer: NodeJS.Timeout | undefined;

    /**
     * @param context Shared objects of the gateway.
     * @param engineClient Calls engines.
     * @param prefillDispatcher Estimates when a prompt will have been computed.
     */
    constructor(
        private readonly context: GatewayContext,
        engineClient: EngineClient,
        private readonly prefillDispatcher: PrefillDispatcher,
    ) {
        this.#chooser = new ServerChooser(context);
        this.#reserver = new DecodeReserver(context, engineClient);
    }

    /** Number of waiting requests. */
    get length(): number {
        return this.#waiters.length;
    }

    /**
     * Waits until memory of a decode engine is reserved for a request.
     *
     * @param request The request.
     * @param excluded Ids of engines that must not be used.
     * @param options Properties that differ from those of a request that can be refused.
     * @returns The reservation, or a refusal.
     * @throws {Error} If an error inside the router ends the wait.
     */
    acquire(
        request: GatewayRequest,
        excluded: ReadonlySet<string>,
        options: AcquireOptions = {},
    ): Promise<Result<DecodeReservation, GatewayRefusal>> {
        const { answerBegun = false, softwareVersion, isWanted = () => true } = options;
        return new Promise((resolve, reject) => {
            const since = monotonicMilliseconds();
            this.#waiters.push({
                request,
                tokens: Math.ceil(request.promptTokens + OUTPUT_FRACTION * request.outputTokens),
                since,
                late: false,
                giveUpAt: answerBegun
                    ? Number.POSITIVE_INFINITY
                    : Math.min(request.deadline, since + MAXIMUM_WAIT_MILLISECONDS),
                excluded,
                softwareVersion,
                answerBegun,
                isWanted,
                resolve,
                reject,
            });
            this.dispatch();
        });
    }

    /** Reserves memory for waiting requests where enough is expected, and refuses those that have waited too long. */
    dispatch(): void {
        const now = monotonicMilliseconds();
        const remaining: Waiter[] = [];
        const blockedServices = new Set<string>();
        this.#sortWaiters(now);
        for (const waiter of this.#waiters) {
            try {
                if (this.#mustWait(waiter, now, blockedServices)) {
                    remaining.push(waiter);
                }
            }
            catch (error) {
                waiter.reject(error);
            }
        }
        this.#waiters = remaining;
        clearTimeout(this.#timer);
        if (remaining.length > 0) {
            this.#timer = setTimeout(() => this.dispatch(), CHECK_MILLISECONDS);
        }
    }

    /**
     * Sorts requests by priority; those whose answer has begun go first, and those that can no longer meet their target
     * latency last.
     */
    #sortWaiters(now: number): void {
        if (this.#waiters.length < 2) {
            return;
        }
        for (const waiter of this.#waiters) {
            const { promptTokens, receivedAt, route } = waiter.request;
            const neededMilliseconds = promptTokens / this.prefillDispatcher.tokensPerMillisecond
                + FIRST_EVENT_MILLISECONDS;
            waiter.late = now + neededMilliseconds > receivedAt + route.targetLatencyMilliseconds;
        }
        this.#waiters.sort((left, right) =>
            Number(right.answerBegun) - Number(left.answerBegun)
            || Number(left.late) - Number(right.late)
            || left.request.priority - right.request.priority
            || left.since - right.since
        );
    }

    /** Refuses a request or starts to reserve memory for it, unless it must wait. */
    #mustWait(waiter: Waiter, now: number, blockedServices: Set<string>): boolean {
        if (waiter.request.signal.aborted || now >= waiter.giveUpAt || !waiter.isWanted()) {
            this.#refuse(waiter);
            return false;
        }
        const service = waiter.request.service.name;
        const isBlocked = blockedServices.has(service);
        const server = isBlocked ? undefined : this.#choose(waiter, now);
        const refusal = server ? undefined : this.#findRefusal(waiter, isBlocked);
        if (refusal) {
            waiter.resolve(err(refusal));
            return false;
        }
        if (!server) {
            // Later requests must not overtake the first one, which could otherwise wait forever. One that may not
            // use every engine waits while there is room for others.
            if (waiter.excluded.size === 0 && waiter.softwareVersion === undefined) {
                blockedServices.add(service);
            }
            return true;
        }
        this.#reserve(waiter, server).catch((error: unknown) => waiter.reject(error));
        return false;
    }

    /** Closes the queue and refuses the waiting requests. */
    close(): void {
        clearTimeout(this.#timer);
        this.#waiters.forEach(waiter => this.#refuse(waiter));
        this.#waiters = [];
    }

    /**
     * Removes a reservation from the load of its engine.
     *
     * @param reservation The reservation.
     */
    release(reservation: DecodeReservation): void {
        const load = this.context.serverLoads.get(reservation.server.id);
        load.reservedTokens -= reservation.tokens;
        load.active--;
        reservation.releasePlace();
        this.dispatch();
    }

    #choose(waiter: Waiter, now: number): RegisteredServer | undefined {
        const { availability, serverLoads } = this.context;
        const service = waiter.request.service;
        const estimate = this.prefillDispatcher.estimateMilliseconds(waiter.request);
        const prefillWait = estimate - waiter.request.promptTokens / this.prefillDispatcher.tokensPerMillisecond;
        const engines = availability.usableServers(service.name, "decode");
        const eligible = engines.filter(server => {
            const load = serverLoads.get(server.id);
            const { active, reservedTokens } = load.total();
            return load.avoidedUntil <= now && !waiter.excluded.has(server.id) && hasVersion(server, waiter)
                && this.#chooser.admits(server)
                && active < server.slots && (service.engine?.memoryTokens ?? 0) - reservedTokens >= waiter.tokens
                && (prefillWait < MAXIMUM_PREFILL_WAIT_MILLISECONDS
                    || this.prefillDispatcher.isLocalPrefillFaster(waiter.request, server, estimate));
        });
        let best: RegisteredServer | undefined;
        let highestPreference = 0;
        for (const server of this.context.serverSubset.narrow(availability.preferStaying(eligible), engines)) {
            const load = serverLoads.get(server.id);
            const free = (service.engine?.memoryTokens ?? 0) - load.total().reservedTokens;
            const preference = free / (1 + FAILURE_PENALTY * load.failureRate);
            if (preference > highestPreference) {
                best = server;
                highestPreference = preference;
            }
        }
        return best;
    }

    async #reserve(waiter: Waiter, server: RegisteredServer): Promise<void> {
        const { request, tokens, since } = waiter;
        const reservation = await this.#reserver.reserve({ request, server, tokens, waitingSince: since });
        if (reservation) {
            waiter.resolve(ok(reservation));
            return;
        }
        this.#waiters.unshift(waiter);
        this.dispatch();
    }

    /** Finds out whether no engine that the request may use will take it in time. */
    #findRefusal(waiter: Waiter, isBlocked: boolean): GatewayRefusal | undefined {
        const { request, excluded, softwareVersion, answerBegun } = waiter;
        const { availability } = this.context;
        const service = request.service.name;
        const gone = softwareVersion === undefined ? undefined : availability.refuseVersion(service, softwareVersion);
        if (gone || isBlocked || answerBegun) {
            return gone;
        }
        if (softwareVersion === undefined) {
            return availability.findRefusal(service, "decode", excluded);
        }
        const others = availability.usableServers(service, "decode").filter(server => !hasVersion(server, waiter));
        return availability.findRefusal(service, "decode", new Set([...excluded, ...others.map(({ id }) => id)]));
    }

    #refuse(waiter: Waiter): void {
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

/** Whether an engine has the software version that a waiting request needs. */
function hasVersion(server: RegisteredServer, { softwareVersion }: Waiter): boolean {
    return softwareVersion === undefined || server.softwareVersion === softwareVersion;
}
