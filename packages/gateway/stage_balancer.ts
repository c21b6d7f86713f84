import { monotonicMilliseconds, PeriodicTask } from "../clocks/mod.ts";
import type { Leadership } from "../coordination/mod.ts";
import type { EngineStage, RegisteredServer } from "../directory/mod.ts";
import type { StageChange } from "./_stage_change.ts";
import { EngineClient } from "./engine_client.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { StagePlanner } from "./stage_planner.ts";

const SAMPLE_PERIOD_MILLISECONDS = 250;
const CALL_TIMEOUT_MILLISECONDS = 800;
/** Time in milliseconds between two orders to engines of one service under load. */
const ORDER_PAUSE_MILLISECONDS = 8_000;
/** Time in milliseconds from the end of a change until the new stage is registered and known to all instances. */
const REGISTRATION_MILLISECONDS = 3_000;
/** Age in milliseconds above which the loads of other cells no longer count. */
const OTHER_CELLS_LIFETIME_MILLISECONDS = 3_000;
/** Weight of the newest sample in the moving averages of the load. */
const SAMPLE_WEIGHT = 0.08;

/** Load of one service. */
interface ServiceLoad {
    /** Moving average of unfinished prompt tokens. */
    prefillTokens: number;
    /** Moving average of the decode memory utilisation, from 0 to 1. */
    decodeUtilisation: number;
    /** Time in milliseconds of the last order to an engine of the service. */
    orderedAt: number;
    planner: StagePlanner;
}

/**
 * Divides the engines of each model service between prefill and decode according to the load. Only the leader gives
 * orders.
 *
 * @example
 * ```ts
 * const balancer = new StageBalancer(context, leadership, "instance-1");
 * await balancer.close();
 * ```
 */
export class StageBalancer {
    readonly #engineClient: EngineClient;
    readonly #task: PeriodicTask;
    readonly #loads = new Map<string, ServiceLoad>();
    readonly #changing = new Map<string, StageChange>();
    /** Unfinished prompt tokens and reserved tokens that instances of other cells cause, by service. */
    #otherCells: Record<string, [number, number]> = {};
    #otherCellsAt = Number.NEGATIVE_INFINITY;

    /**
     * @param context Shared objects of the gateway.
     * @param leadership Provides the fencing token while this instance may give orders.
     * @param holder Name of this instance in its orders.
     */
    constructor(
        private readonly context: GatewayContext,
        private readonly leadership: Leadership,
        private readonly holder: string,
    ) {
        this.#engineClient = new EngineClient(context);
        this.#task = new PeriodicTask(SAMPLE_PERIOD_MILLISECONDS, () => this.#step(), error => {
            context.logger.error("stage balancer failed", { error: String(error) });
        });
    }

    /**
     * Lists the engines that this instance has ordered to change their stage and that have not finished.
     *
     * @returns Their ids.
     */
    changing(): string[] {
        const now = this.context.clock.now();
        const { directory, serverLoads } = this.context;
        for (const [id, { stage, startedAt, until }] of this.#changing) {
            const registered = directory.servers.get(id);
            const hasStartedAgain = registered !== undefined && registered.startedAt !== startedAt;
            if (hasStartedAgain) {
                serverLoads.get(id).reset();
            }
            if (now > until || hasStartedAgain || registered?.stage === stage) {
                this.#changing.delete(id);
            }
        }
        return [...this.#changing.keys()];
    }

    /**
     * Sums up the load that the members of this instance's cell cause.
     *
     * @returns Unfinished prompt tokens and reserved tokens by service.
     */
    cellLoads(): Record<string, [number, number]> {
        const { directory, serverLoads } = this.context;
        const loads: Record<string, [number, number]> = {};
        for (const { name, engine } of directory.configuration?.services ?? []) {
            if (engine) {
                const totals = directory.usableServers(name).map(({ id }) => serverLoads.get(id).total());
                const sum = (field: "prefillTokens" | "reservedTokens") =>
                    totals.reduce((tokens, total) => tokens + total[field], 0);
                loads[name] = [sum("prefillTokens"), sum("reservedTokens")];
            }
        }
        return loads;
    }

    /**
     * Records the load that the members of other cells cause.
     *
     * @param loads Unfinished prompt tokens and reserved tokens by service.
     */
    recordOtherCells(loads: Record<string, [number, number]>): void {
        this.#otherCells = loads;
        this.#otherCellsAt = this.context.clock.now();
    }

    /**
     * Stops giving orders.
     *
     * @returns A promise that resolves once the current order has ended.
     */
    async close(): Promise<void> {
        await this.#task.close();
    }

    async #step(): Promise<void> {
        const { directory, leavingServers } = this.context;
        for (const service of directory.configuration?.services ?? []) {
            if (!service.engine) {
                continue;
            }
            const servers = directory.usableServers(service.name)
                .filter(server => server.stage !== undefined && !leavingServers.isLeaving(server));
            const load = this.#sample(service.name, servers, service.engine.memoryTokens);
            const fence = this.leadership.fence();
            if (fence !== undefined) {
                await this.#balance(service.name, servers, load, fence);
            }
        }
    }

    #sample(service: string, servers: RegisteredServer[], memoryTokens: number): ServiceLoad {
        const { serverLoads, clock } = this.context;
        const isFresh = clock.now() - this.#otherCellsAt < OTHER_CELLS_LIFETIME_MILLISECONDS;
        let [prefillTokens, reservedTokens] = (isFresh ? this.#otherCells[service] : undefined) ?? [0, 0];
        let decodeEngines = 0;
        for (const server of servers) {
            const total = serverLoads.get(server.id).total();
            prefillTokens += total.prefillTokens;
            reservedTokens += total.reservedTokens;
            decodeEngines += server.stage === "decode" ? 1 : 0;
        }
        const load = this.#loads.get(service)
            ?? {
                prefillTokens: 0,
                decodeUtilisation: 0,
                orderedAt: Number.NEGATIVE_INFINITY,
                planner: new StagePlanner(),
            };
        const utilisation = reservedTokens / Math.max(1, decodeEngines * memoryTokens);
        load.prefillTokens += SAMPLE_WEIGHT * (prefillTokens - load.prefillTokens);
        load.decodeUtilisation += SAMPLE_WEIGHT * (utilisation - load.decodeUtilisation);
        this.#loads.set(service, load);
        return load;
    }

    async #balance(
        service: string,
        servers: RegisteredServer[],
        load: ServiceLoad,
        fence: number,
    ): Promise<void> {
        // Removes the changes that have ended.
        this.changing();
        const now = this.context.clock.now();
        const prefillEngines = servers.filter(server => this.#futureStage(server) === "prefill");
        const { prefillTokens, decodeUtilisation } = load;
        const division = {
            engines: servers.length,
            prefillEngines: prefillEngines.length,
            prefillTokens,
            decodeUtilisation,
            speeds: this.#sumSpeeds(servers, prefillEngines),
            prefillFraction: this.#prefillFraction(service),
        };
        const stage = load.planner.next(division, now);
        if (!stage || now - load.orderedAt <= this.#orderPause(load)) {
            return;
        }
        const currentStage: EngineStage = stage === "prefill" ? "decode" : "prefill";
        const candidates = servers.filter(server =>
            server.stage === currentStage && !this.#changing.has(server.id)
            && this.context.availability.isUsable(server)
        );
        const chosen = this.#selectEngines(candidates, load.planner.countAtOnce(division, stage));
        if (chosen.length > 0) {
            load.orderedAt = now;
            this.context.logger.info("division of engines changes", {
                service,
                stage,
                count: chosen.length,
                ...division,
            });
            await Promise.all(chosen.map(server => this.#order(server, stage, fence)));
        }
    }

    #sumSpeeds(
        engines: readonly RegisteredServer[],
        prefillEngines: readonly RegisteredServer[],
    ): { all: number; prefill: number; fastestPrefill: number; } {
        const speedOf = ({ id }: RegisteredServer) => this.context.serverLoads.get(id).speedFactor;
        const sum = (servers: readonly RegisteredServer[]) =>
            servers.reduce((total, server) => total + speedOf(server), 0);
        return {
            all: sum(engines),
            prefill: sum(prefillEngines),
            fastestPrefill: Math.max(0, ...prefillEngines.map(speedOf)),
        };
    }

    #futureStage(server: RegisteredServer): EngineStage | undefined {
        return this.#changing.get(server.id)?.stage ?? server.stage;
    }

    #prefillFraction(service: string): number | "not-measured-yet" | undefined {
        const { stageWork } = this.context;
        return stageWork && (stageWork.prefillFraction(service, monotonicMilliseconds()) ?? "not-measured-yet");
    }

    #orderPause(load: ServiceLoad): number {
        return load.decodeUtilisation === 0 ? SAMPLE_PERIOD_MILLISECONDS : ORDER_PAUSE_MILLISECONDS;
    }

    #selectEngines(candidates: readonly RegisteredServer[], count: number): RegisteredServer[] {
        const left = [...candidates];
        const chosen: RegisteredServer[] = [];
        while (chosen.length < count) {
            const server = this.#selectEngine(left);
            if (!server) {
                break;
            }
            left.splice(left.indexOf(server), 1);
            chosen.push(server);
        }
        return chosen;
    }

    #selectEngine(servers: RegisteredServer[]): RegisteredServer | undefined {
        const enginesByDomain = new Map<string, number>();
        for (const { failureDomain } of servers) {
            enginesByDomain.set(failureDomain, (enginesByDomain.get(failureDomain) ?? 0) + 1);
        }
        // The failure domain with the most engines of the stage gives one up first.
        return [...servers].sort((left, right) =>
            (enginesByDomain.get(right.failureDomain) ?? 0) - (enginesByDomain.get(left.failureDomain) ?? 0)
            || this.context.serverLoads.get(left.id).total().active
                - this.context.serverLoads.get(right.id).total().active
            || left.id.localeCompare(right.id)
        )[0];
    }

    async #order(server: RegisteredServer, stage: EngineStage, fence: number): Promise<void> {
        const { engineProtocol, logger, metrics } = this.context;
        const state = await this.#engineClient.call(server, engineProtocol.report(), CALL_TIMEOUT_MILLISECONDS);
        const report = state.status === 200 ? engineProtocol.parseReport(state.body) : undefined;
        if (!report || report.busy || report.stage === stage || this.leadership.fence() !== fence) {
            return;
        }
        if (this.context.leavingServers.isLeaving(server) || !this.context.availability.isUsable(server)) {
            return;
        }
        const unavailableMilliseconds =
            (this.context.directory.findService(server.service)?.engine?.stageChangeMilliseconds ?? 0)
            + REGISTRATION_MILLISECONDS;
        this.#changing.set(server.id, {
            stage,
            startedAt: server.startedAt,
            until: this.context.clock.now() + unavailableMilliseconds,
        });
        this.context.serverLoads.avoid(server.id, unavailableMilliseconds);
        const call = engineProtocol.changeStage(stage, this.holder, fence, report.sequence);
        const response = await this.#engineClient.call(server, call, CALL_TIMEOUT_MILLISECONDS);
        metrics.increment("stage_orders_total", { stage, result: String(response.status) });
        logger.info("engine ordered to change its stage", {
            service: server.service,
            server: server.id,
            stage,
            fence,
            sequence: report.sequence,
            result: response.status,
        });
        if (response.status === 412) {
            await this.leadership.resign();
        }
    }
}
