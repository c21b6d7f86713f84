import { PeriodicTask } from "../clocks/mod.ts";
import type { Leadership } from "../coordination/mod.ts";
import type { EngineStage, RegisteredServer } from "../directory/mod.ts";
import { EngineClient } from "./engine_client.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { StagePlanner } from "./stage_planner.ts";

const PERIOD_MILLISECONDS = 250;
const CALL_MILLISECONDS = 800;
/** Time in milliseconds between two orders to engines of one service once there is traffic. */
const PAUSE_MILLISECONDS = 8_000;
/** Time in milliseconds until a changed stage is registered and known, besides the change itself. */
const ANNOUNCEMENT_MILLISECONDS = 3_000;
/** Weight of the newest sample in the averages of the load. */
const SAMPLE_WEIGHT = 0.08;

/** What is known of the load of one service. */
interface ServiceLoad {
    /** Average of prompt tokens under way. */
    prefillTokens: number;
    /** Average of decode memory in use, as a part of the whole. */
    decodeFill: number;
    orderedAt: number;
    plan: StagePlanner;
}

/**
 * Keeps the engines of each model service divided between prefill and decode in accordance with the load. Only the
 * leader gives orders.
 *
 * @example
 * ```ts
 * const balancer = new StageBalancer(services, leadership, "instance-1");
 * await balancer.close();
 * ```
 */
export class StageBalancer {
    readonly #caller: EngineClient;
    readonly #task: PeriodicTask;
    readonly #loads = new Map<string, ServiceLoad>();
    readonly #changing = new Map<string, { stage: EngineStage; until: number; }>();

    /**
     * @param services What the gateway works with.
     * @param leadership Tells whether this instance may give orders.
     * @param holder Name under which orders are given.
     */
    constructor(
        private readonly services: GatewayContext,
        private readonly leadership: Leadership,
        private readonly holder: string,
    ) {
        this.#caller = new EngineClient(services);
        this.#task = new PeriodicTask(PERIOD_MILLISECONDS, () => this.#step(), error => {
            services.logger.error("stage balancer failed", { error: String(error) });
        });
    }

    /**
     * Lists the engines that this instance has ordered to change their stage and that have not done so.
     *
     * @returns Their ids.
     */
    changing(): string[] {
        const now = this.services.clock.now();
        for (const [id, { stage, until }] of this.#changing) {
            if (now > until || this.services.directory.servers.get(id)?.stage === stage) {
                this.#changing.delete(id);
            }
        }
        return [...this.#changing.keys()];
    }

    /**
     * Stops giving orders.
     *
     * @returns A promise that resolves once the order under way has ended.
     */
    async close(): Promise<void> {
        await this.#task.close();
    }

    async #step(): Promise<void> {
        const { directory } = this.services;
        for (const service of directory.configuration?.services ?? []) {
            if (!service.engine) {
                continue;
            }
            const servers = directory.usableServers(service.name).filter(({ stage }) => stage !== undefined);
            const load = this.#sample(service.name, servers, service.engine.memoryTokens);
            const fence = this.leadership.fence();
            if (fence !== undefined) {
                await this.#balance(servers, load, fence);
            }
        }
    }

    #sample(service: string, servers: RegisteredServer[], memoryTokens: number): ServiceLoad {
        const { serverLoads: book } = this.services;
        let prefillTokens = 0;
        let reservedTokens = 0;
        let decoders = 0;
        for (const server of servers) {
            const total = book.get(server.id).total();
            prefillTokens += total.prefillTokens;
            reservedTokens += total.reservedTokens;
            decoders += server.stage === "decode" ? 1 : 0;
        }
        const load = this.#loads.get(service)
            ?? { prefillTokens: 0, decodeFill: 0, orderedAt: Number.NEGATIVE_INFINITY, plan: new StagePlanner() };
        const fill = reservedTokens / Math.max(1, decoders * memoryTokens);
        load.prefillTokens += SAMPLE_WEIGHT * (prefillTokens - load.prefillTokens);
        load.decodeFill += SAMPLE_WEIGHT * (fill - load.decodeFill);
        this.#loads.set(service, load);
        return load;
    }

    async #balance(servers: RegisteredServer[], load: ServiceLoad, fence: number): Promise<void> {
        this.changing();
        const now = this.services.clock.now();
        const prefillers = servers.filter(server => this.#futureStage(server) === "prefill");
        const { prefillTokens, decodeFill } = load;
        const division = { engines: servers.length, prefillers: prefillers.length, prefillTokens, decodeFill };
        const stage = load.plan.next(division, now);
        if (!stage || now - load.orderedAt <= this.#pause(load)) {
            return;
        }
        const former: EngineStage = stage === "prefill" ? "decode" : "prefill";
        const candidates = servers.filter(server => server.stage === former && !this.#changing.has(server.id));
        await this.#move(candidates, stage, load, fence);
    }

    #futureStage(server: RegisteredServer): EngineStage | undefined {
        return this.#changing.get(server.id)?.stage ?? server.stage;
    }

    async #move(candidates: RegisteredServer[], stage: EngineStage, load: ServiceLoad, fence: number): Promise<void> {
        const server = this.#leastLoaded(candidates);
        if (server) {
            load.orderedAt = this.services.clock.now();
            await this.#order(server, stage, fence);
        }
    }

    #pause(load: ServiceLoad): number {
        return load.decodeFill === 0 ? PERIOD_MILLISECONDS : PAUSE_MILLISECONDS;
    }

    #leastLoaded(servers: RegisteredServer[]): RegisteredServer | undefined {
        const domains = new Map<string, number>();
        for (const { failureDomain } of servers) {
            domains.set(failureDomain, (domains.get(failureDomain) ?? 0) + 1);
        }
        // Engines leave the failure domain that has most of their stage first.
        return [...servers].sort((left, right) =>
            (domains.get(right.failureDomain) ?? 0) - (domains.get(left.failureDomain) ?? 0)
            || this.services.serverLoads.get(left.id).total().active
                - this.services.serverLoads.get(right.id).total().active
            || left.id.localeCompare(right.id)
        )[0];
    }

    async #order(server: RegisteredServer, stage: EngineStage, fence: number): Promise<void> {
        const { engineProtocol: engines, logger, metrics } = this.services;
        const state = await this.#caller.call(server, engines.report(), CALL_MILLISECONDS);
        const report = state.status === 200 ? engines.parseReport(state.body) : undefined;
        if (!report || report.busy || report.stage === stage || this.leadership.fence() !== fence) {
            return;
        }
        const awayMilliseconds =
            (this.services.directory.findService(server.service)?.engine?.stageChangeMilliseconds ?? 0)
            + ANNOUNCEMENT_MILLISECONDS;
        this.#changing.set(server.id, { stage, until: this.services.clock.now() + awayMilliseconds });
        this.services.serverLoads.avoid(server.id, awayMilliseconds);
        const call = engines.changeStage(stage, this.holder, fence, report.sequence);
        const answer = await this.#caller.call(server, call, CALL_MILLISECONDS);
        metrics.increment("stage_orders_total", { stage, result: String(answer.status) });
        logger.info("engine ordered to change its stage", {
            service: server.service,
            server: server.id,
            stage,
            fence,
            sequence: report.sequence,
            result: answer.status,
        });
        if (answer.status === 412) {
            await this.leadership.resign();
        }
    }
}
