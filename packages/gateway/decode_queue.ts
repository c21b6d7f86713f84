import { err, ok, type Result } from "neverthrow";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import { compareWaiting } from "../decisions/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import { EngineChooser } from "../speeds/mod.ts";
import { createStreamRefusal } from "./_create_stream_refusal.ts";
import { createWaiter } from "./_create_waiter.ts";
import { findEngineRefusal } from "./_find_engine_refusal.ts";
import { findRoom } from "./_find_room.ts";
import { hasVersion } from "./_has_version.ts";
import { preferListedVersions } from "./_prefer_listed_versions.ts";
import { refuseWaiter } from "./_refuse_waiter.ts";
import type { DecodeReservation } from "./decode_reservation.ts";
import { DecodeReserver } from "./decode_reserver.ts";
import type { DecodeWaiter } from "./decode_waiter.ts";
import type { EngineClient } from "./engine_client.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRefusal } from "./gateway_refusal.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { PeerRelay } from "./peer_relay.ts";
import type { PrefillDispatcher } from "./prefill_dispatcher.ts";
import { ServerChooser } from "./server_chooser.ts";

/** Time in milliseconds after which the queue is checked again if no event triggers it. */
const CHECK_MILLISECONDS = 25;
/** Expected time in milliseconds from the end of a prefill to the first event. */
const FIRST_EVENT_MILLISECONDS = 120;
/** Longest wait in milliseconds at a prefill engine, without the prefill itself, at which memory is reserved. */
const MAXIMUM_PREFILL_WAIT_MILLISECONDS = 200;

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
    #waiters: DecodeWaiter[] = [];
    readonly #chooser: ServerChooser;
    readonly #engineChooser = new EngineChooser();
    readonly #reserver: DecodeReserver;
    #timer: NodeJS.Timeout | undefined;

    /**
     * @param context Shared objects of the gateway.
     * @param engineClient Calls engines.
     * @param prefillDispatcher Estimates when a prompt will have been computed.
     * @param peerRelay Tells which requests another instance may take, which need not wait. Default: none.
     */
    constructor(
        private readonly context: GatewayContext,
        engineClient: EngineClient,
        private readonly prefillDispatcher: PrefillDispatcher,
        private readonly peerRelay?: Pick<PeerRelay, "canPass">,
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
            const wait = {
                request,
                excluded,
                softwareVersion,
                answerBegun,
                isWanted,
                neededMilliseconds: request.promptTokens / this.prefillDispatcher.tokensPerMillisecond
                    + FIRST_EVENT_MILLISECONDS,
                resolve,
                reject,
            };
            this.#waiters.push(createWaiter(wait, this.context));
            this.dispatch();
        });
    }

    /** Reserves memory for waiting requests where enough is expected, and refuses those that have waited too long. */
    dispatch(): void {
        const now = monotonicMilliseconds();
        const remaining: DecodeWaiter[] = [];
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

    /** Sorts requests by the order of their services. */
    #sortWaiters(now: number): void {
        if (this.#waiters.length < 2) {
            return;
        }
        for (const waiter of this.#waiters) {
            waiter.late = now + waiter.neededMilliseconds > waiter.receivedAt + waiter.targetLatencyMilliseconds;
            waiter.orderUrgency = this.context.loadPolicies.of(waiter.service).order.urgencyOf(waiter, now);
        }
        this.#waiters.sort(compareWaiting);
    }

    /** Refuses a request or starts to reserve memory for it, unless it must wait. */
    #mustWait(waiter: DecodeWaiter, now: number, blockedServices: Set<string>): boolean {
        if (waiter.request.signal.aborted || now >= waiter.giveUpAt || !waiter.isWanted()) {
            this.#refuse(waiter);
            return false;
        }
        if (this.peerRelay?.canPass(waiter.request)) {
            waiter.resolve(err(createStreamRefusal("no-backend-server", "not-run", "No engine can be reached")));
            return false;
        }
        const { service } = waiter;
        const isBlocked = blockedServices.has(service) || this.#mustYield(waiter, now);
        const server = isBlocked ? undefined : this.#choose(waiter, now);
        const refusal = server ? undefined : findEngineRefusal(waiter, isBlocked, this.context.availability);
        if (refusal) {
            waiter.resolve(err(refusal));
            return false;
        }
        if (!server) {
            // Later requests must not overtake the first one, which could otherwise wait forever. One that may not
            // use every engine waits while there is room for others.
            if (waiter.excluded.size === 0 && this.#mayUseAnyVersion(waiter)) {
                blockedServices.add(service);
            }
            return !this.#refuseHopeless(waiter, now);
        }
        this.#reserve(waiter, server).catch((error: unknown) => waiter.reject(error));
        return false;
    }

    /** Finds out whether a request leaves the room to more urgent ones of other instances. */
    #mustYield(waiter: DecodeWaiter, now: number): boolean {
        const { logger, loadPolicies, metrics } = this.context;
        const { request, service, tokens } = waiter;
        const { urgency } = request;
        const prefillTokens = MAXIMUM_PREFILL_WAIT_MILLISECONDS * this.prefillDispatcher.tokensPerMillisecond;
        const room = () => findRoom(request.service, prefillTokens, this.context);
        if (!loadPolicies.of(service).order.mustYield(waiter, room, now)) {
            return false;
        }
        if (!waiter.hasYielded) {
            waiter.hasYielded = true;
            metrics.increment("decode_yields_total", { urgency: String(urgency) });
            logger.info("request yields memory", {
                request: request.id,
                urgency,
                isBeyondShare: waiter.urgency > urgency,
                tokens,
                demand: loadPolicies.demand.total(service, now),
                places: room().places(tokens),
            });
        }
        return true;
    }

    /**
     * Refuses a request that is not expected to get memory in time when it is first found to have to wait. One that has
     * been at an engine keeps its wait.
     */
    #refuseHopeless(waiter: DecodeWaiter, now: number): boolean {
        const { wait } = this.context.loadPolicies.of(waiter.service);
        const isFirstPass = !waiter.answerBegun && waiter.excluded.size === 0;
        const isHopeless = isFirstPass && !waiter.hasWaited && wait.isHopeless(waiter, now);
        waiter.hasWaited = true;
        if (isHopeless) {
            refuseWaiter(waiter, true, this.context);
        }
        return isHopeless;
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

    #choose(waiter: DecodeWaiter, now: number): RegisteredServer | undefined {
        const { availability, rollouts, serverLoads } = this.context;
        const service = waiter.request.service;
        const estimate = this.prefillDispatcher.estimateMilliseconds(waiter.request);
        const prefillWait = estimate - waiter.request.promptTokens / this.prefillDispatcher.tokensPerMillisecond;
        const engines = availability.usableServers(service.name, "decode");
        const eligible = preferListedVersions(engines, waiter, this.context).filter(server => {
            const load = serverLoads.get(server.id);
            const { active, reservedTokens } = load.total();
            return load.avoidedUntil <= now && !waiter.excluded.has(server.id) && hasVersion(server, waiter)
                && this.#chooser.admits(server)
                && active < server.slots && (service.engine?.memoryTokens ?? 0) - reservedTokens >= waiter.tokens
                && (prefillWait < MAXIMUM_PREFILL_WAIT_MILLISECONDS
                    || this.prefillDispatcher.isLocalPrefillFaster(waiter.request, server, estimate));
        });
        const selected = availability.preferStaying(rollouts.select(service.name, waiter.request.route.name, eligible));
        const preferred = this.context.serverSubset.narrow(selected, rollouts.alike(selected, engines));
        const savings = this.context.promptMemory?.expectFetched(waiter.request.promptSections, preferred);
        const candidates = preferred.map(server => {
            const load = serverLoads.get(server.id);
            return {
                server,
                freeTokens: (service.engine?.memoryTokens ?? 0) - load.total().reservedTokens,
                failureRate: load.failureRate,
                speedFactor: load.speedFactor,
                savedTokens: savings?.get(server.id)?.tokens ?? 0,
            };
        });
        return this.#engineChooser.chooseDecode(candidates)?.server;
    }

    async #reserve(waiter: DecodeWaiter, server: RegisteredServer): Promise<void> {
        const { request, tokens, softwareVersion, since } = waiter;
        const reservation = await this.#reserver.reserve({
            request,
            server,
            tokens,
            softwareVersion,
            waitingSince: since,
        });
        if (reservation) {
            const firstEventAt = monotonicMilliseconds() + waiter.neededMilliseconds;
            request.isLate = firstEventAt > waiter.receivedAt + waiter.targetLatencyMilliseconds;
            waiter.resolve(ok(reservation));
            return;
        }
        this.#waiters.unshift(waiter);
        this.dispatch();
    }

    /** Whether every engine has the software version that a request needs. */
    #mayUseAnyVersion(waiter: DecodeWaiter): boolean {
        const { availability } = this.context;
        return availability.usableServers(waiter.service, "decode").every(server => hasVersion(server, waiter));
    }

    #refuse(waiter: DecodeWaiter): void {
        refuseWaiter(waiter, false, this.context);
    }
}
