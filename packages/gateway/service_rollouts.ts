import type { BackendFault } from "../backends/mod.ts";
import type { SuspensionAwareClock } from "../clocks/mod.ts";
import type { Directory, RegisteredServer } from "../directory/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { ItemReplica } from "../replica/mod.ts";
import { encodeOutcomeKey, ExposureLimit, responseTimeBuckets } from "../rollouts/mod.ts";
import { isProvedState } from "./_is_proved_state.ts";
import { parseRolloutState } from "./_parse_rollout_state.ts";
import { ServiceRollout } from "./_service_rollout.ts";
import { usedByAll } from "./_used_by_all.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import { SharedUsage } from "./shared_usage.ts";
import type { SharedUsageOptions } from "./shared_usage_options.ts";

/** Prefix of the store keys under which the states of roll-outs are kept, by service. */
const STATE_PREFIX = "laburnumslip/rollouts/";
/** Length in milliseconds of the window in which outcomes are counted, which holds some periods of their keys. */
const WINDOW_MILLISECONDS = 30_000;
/** Fractions of the bound on a version's exposure that are used in the trial and by the end of the probe. */
const TRIAL_FRACTION = 0.6;
const PROBE_FRACTION = 0.85;
/** Fraction of the requests that the bound allows in addition that instances use. */
const SLACK_FRACTION = 0.3;
/** Age in milliseconds of the replica above which this instance may not know that a version was rolled back. */
const MAXIMUM_AGE_MILLISECONDS = 2_000;
/** Time in milliseconds for which the old version's servers may still be registered after they have stopped. */
const STOPPED_MILLISECONDS = 30_000;

/** Dependencies of {@linkcode ServiceRollouts}. */
interface ServiceRolloutsOptions extends Omit<SharedUsageOptions, "windowMilliseconds"> {
    directory: Directory;
    replica: ItemReplica;
    clock: SuspensionAwareClock;
    settings: () => GatewaySettings;
    metrics: Metrics;
    logger: Logger;
    /** Draws the initial credit of this instance, from 0 to 1. Default: at random. */
    draw?: () => number;
}

/**
 * Divides the requests to services between the versions of their servers while roll-outs last, and counts how the
 * requests end. Without an operator's order, it does nothing.
 *
 * @example
 * ```ts
 * const candidates = rollouts.select("orders", "status", servers);
 * rollouts.count(server, "status"); // the request is sent
 * rollouts.record(server, "status", 21); // the response took 21 ms
 * ```
 */
export class ServiceRollouts {
    /** Outcomes of requests by encoded key. */
    readonly usage: SharedUsage;
    readonly #rollouts = new Map<string, ServiceRollout>();

    /**
     * @param options Dependencies.
     */
    constructor(private readonly options: ServiceRolloutsOptions) {
        this.usage = new SharedUsage({ ...options, windowMilliseconds: WINDOW_MILLISECONDS });
        options.directory.onChange(() => this.#followOrders());
        options.replica.onChange(change => {
            if (change.kind === "written" && change.item.key.startsWith(STATE_PREFIX)) {
                this.#applyState(change.item.key.slice(STATE_PREFIX.length), false);
            }
        });
    }

    /** Roll-outs by service, including those that have ended, until the operator withdraws their orders. */
    get rollouts(): ReadonlyMap<string, ServiceRollout> {
        return this.#rollouts;
    }

    /**
     * Returns the store key of a roll-out's state.
     *
     * @param service Name of the service.
     * @returns The key.
     */
    stateKey(service: string): string {
        return STATE_PREFIX + service;
    }

    /**
     * Selects the servers that may get the next request.
     *
     * @param service Name of the service.
     * @param route Name of the request's route.
     * @param servers Servers of the service that could take the request.
     * @returns Those of the version that gets it; all without a roll-out.
     */
    select(service: string, route: string, servers: RegisteredServer[]): RegisteredServer[] {
        const rollout = this.#rollouts.get(service);
        if (!rollout) {
            return servers;
        }
        const fresh = servers.filter(server => rollout.isNew(server));
        const old = servers.filter(server => rollout.isOld(server));
        if (rollout.isStopped) {
            return old;
        }
        const now = this.options.clock.now();
        switch (rollout.phase) {
            case "completed":
                if (rollout.inPhase(now) > STOPPED_MILLISECONDS) {
                    return servers;
                }
                return fresh.length > 0 ? fresh : old;
            case "move":
                if (now - this.options.replica.confirmedAt <= MAXIMUM_AGE_MILLISECONDS) {
                    return fresh.length > 0 ? fresh : old;
                }
        }
        if (
            fresh.length > 0 && (rollout.exposure.admits(route, this.#share(rollout)) || !this.#hasOldServers(rollout))
        ) {
            return fresh;
        }
        return old;
    }

    /**
     * Finds the servers of the version that a request was given to.
     *
     * @param selected Servers that were selected for the request.
     * @param servers All servers of the service.
     * @returns The servers of their version; all without a roll-out.
     */
    alike(selected: RegisteredServer[], servers: RegisteredServer[]): RegisteredServer[] {
        const rollout = selected[0] && this.#rollouts.get(selected[0].service);
        if (!rollout) {
            return servers;
        }
        const versions = new Set(selected.map(server => rollout.isNew(server)));
        return servers.filter(server => versions.has(rollout.isNew(server)));
    }

    /**
     * Counts a request that is sent.
     *
     * @param server Its server.
     * @param route Name of its route.
     */
    count(server: RegisteredServer, route: string): void {
        const rollout = this.#rollouts.get(server.service);
        if (rollout) {
            const isNew = rollout.isNew(server);
            rollout.exposure.count(route, isNew);
            this.options.metrics.increment("rollout_requests_total", {
                service: server.service,
                version: isNew ? "new" : "old",
            });
        }
    }

    /**
     * Records the end of a request without an answer. A server that cannot be reached says nothing of its version.
     *
     * @param server Its server.
     * @param route Name of its route.
     * @param fault Why there was no answer.
     */
    recordFault(server: RegisteredServer, route: string, fault: Pick<BackendFault, "kind">): void {
        if (fault.kind !== "aborted" && fault.kind !== "unreachable") {
            this.record(server, route, undefined);
        }
    }

    /**
     * Records the end of a request with an answer.
     *
     * @param server Its server.
     * @param route Name of its route.
     * @param status Status of the answer.
     * @param milliseconds Response time; undefined if the answer is not valid.
     */
    recordAnswer(server: RegisteredServer, route: string, status: number, milliseconds: number | undefined): void {
        this.record(server, route, status >= 500 ? undefined : milliseconds);
    }

    /**
     * Records how a request ended.
     *
     * @param server Its server.
     * @param route Name of its route; another name for each kind of call that takes another time.
     * @param milliseconds Response time; undefined for a failure.
     */
    record(server: RegisteredServer, route: string, milliseconds: number | undefined): void {
        const rollout = this.#rollouts.get(server.service);
        const hasEnded = rollout?.phase === "completed" || rollout?.phase === "rolled-back";
        // A cold server is slow for a reason of its own.
        if (!rollout || hasEnded || milliseconds !== undefined && this.options.directory.isCold(server.id)) {
            return;
        }
        const key = encodeOutcomeKey({
            order: rollout.order.id,
            period: rollout.period(this.options.clock.now()),
            route,
            version: rollout.isNew(server) ? "new" : "old",
            bucket: milliseconds === undefined ? undefined : responseTimeBuckets.of(milliseconds),
        });
        this.usage.add(key, 1);
    }

    /** Judges the versions of all roll-outs by the outcomes at all instances. */
    judge(): void {
        if (this.#rollouts.size === 0) {
            return;
        }
        const counts = usedByAll(this.usage);
        for (const [service, rollout] of this.#rollouts) {
            if (this.#canForget(rollout)) {
                this.#rollouts.delete(service);
                continue;
            }
            const before = rollout.judgement.verdict;
            rollout.judgement = rollout.judge.judge(counts);
            const { verdict } = rollout.judgement;
            if (verdict !== before) {
                const { version, id } = rollout.order;
                this.options.logger.info("version judged", {
                    service,
                    version,
                    order: id,
                    before,
                    ...rollout.judgement,
                    exposedHere: rollout.exposure.exposed,
                    elapsed: Math.round(rollout.elapsed(this.options.clock.now())),
                });
            }
        }
    }

    #share({ phase, order }: ServiceRollout): number {
        const { exposureShare } = this.options.settings().bounds;
        // A request to an engine may be two calls, each of which is counted.
        const calls = this.options.directory.findService(order.service)?.engine ? 2 : 1;
        const fraction = phase === undefined ? 0 : phase === "trial" ? TRIAL_FRACTION : PROBE_FRACTION;
        return exposureShare * fraction / calls;
    }

    /** Whether the old version has servers at all; otherwise no request could be served but by the new one. */
    #hasOldServers(rollout: ServiceRollout): boolean {
        for (const server of this.options.directory.servers.values()) {
            if (server.service === rollout.order.service && rollout.isOld(server)) {
                return true;
            }
        }
        return false;
    }

    /** Whether a roll-out has ended, its order is withdrawn, and the servers of the version that lost are gone. */
    #canForget(rollout: ServiceRollout): boolean {
        const isFinal = rollout.phase === "completed" || rollout.phase === "rolled-back";
        return isFinal && rollout.isWithdrawn && rollout.inPhase(this.options.clock.now()) > STOPPED_MILLISECONDS;
    }

    #followOrders(): void {
        const { directory, clock, settings, instanceCount, draw, metrics } = this.options;
        for (const [service, order] of directory.rolloutOrders) {
            const present = this.#rollouts.get(service);
            if (present?.order.id === order.id) {
                present.isWithdrawn = false;
                continue;
            }
            const refused = new Set(present?.refused);
            if (present && present.phase !== "completed") {
                refused.add(present.order.version);
            }
            refused.delete(order.version);
            const slack = settings().bounds.exposureSlack * SLACK_FRACTION / Math.max(1, instanceCount());
            const exposure = new ExposureLimit((draw ?? Math.random)() + slack);
            this.#rollouts.set(service, new ServiceRollout(order, refused, exposure, clock.now()));
            metrics.gauge("rollout_evidence", () => this.#rollouts.get(service)?.judgement.evidence ?? 0, { service });
            // The state may have been read before the order, by an instance that has just started.
            this.#applyState(service, true);
        }
        for (const [service, rollout] of this.#rollouts) {
            rollout.isWithdrawn ||= !directory.rolloutOrders.has(service);
        }
    }

    #applyState(service: string, isBeforeOrder: boolean): void {
        const rollout = this.#rollouts.get(service);
        const item = this.options.replica.getStored(this.stateKey(service));
        if (!rollout || item?.value === undefined) {
            return;
        }
        const state = parseRolloutState(item.value);
        if (!state) {
            this.options.metrics.increment("unreadable_items_total");
            this.options.logger.warn("state of a roll-out cannot be read", { service, key: item.key });
        }
        else if (state.order === rollout.order.id && isProvedState(state, item, this.options.replica, rollout.phase)) {
            rollout.apply(state, isBeforeOrder ? Date.now() : undefined, this.options.clock.now(), item.era);
        }
    }
}
