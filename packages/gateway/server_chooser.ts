import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import type { GatewayContext } from "./gateway_context.ts";

/** Weight of a server's failure rate in its cost. */
const FAILURE_PENALTY = 6;

/**
 * Chooses the backend servers of plain services by their expected response time, load and failure rate.
 *
 * @example
 * ```ts
 * const server = new ServerChooser(context).choose("orders", "status", new Set());
 * ```
 */
export class ServerChooser {
    /**
     * @param context Shared objects of the gateway.
     */
    constructor(private readonly context: GatewayContext) {}

    /**
     * Chooses a server.
     *
     * @param service Name of the service.
     * @param route Name of the request's route.
     * @param tried Ids of the servers that the request was already sent to.
     * @returns The server, or undefined if none may be used.
     */
    choose(service: string, route: string, tried: ReadonlySet<string>): RegisteredServer | undefined {
        const { availability, rollouts, serverLoads } = this.context;
        const now = monotonicMilliseconds();
        let best: RegisteredServer | undefined;
        let bestCost = Number.POSITIVE_INFINITY;
        const servers = availability.usableServers(service);
        // A server without a recent response counts as fast as the fastest one, so that it gets a request.
        const fastest = Math.min(
            ...servers.map(({ id }) => serverLoads.get(id).averageResponseMilliseconds ?? Number.POSITIVE_INFINITY),
        );
        const untried = servers.filter(server => !tried.has(server.id) && this.admits(server));
        const selected = rollouts.select(service, route, untried);
        const healthy = selected.filter(({ id }) => serverLoads.get(id).avoidedUntil <= now);
        const eligible = availability.preferStaying(healthy.length > 0 ? healthy : selected);
        const peerLoadWeight = this.context.peerLoadWeight();
        for (const server of this.context.serverSubset.narrow(eligible, rollouts.alike(eligible, servers))) {
            const load = serverLoads.get(server.id);
            const expected = load.averageResponseMilliseconds ?? (Number.isFinite(fastest) ? fastest : 1);
            const waiting = (load.total(peerLoadWeight).active + 1) / Math.max(1, server.slots);
            const cost = expected * waiting * (1 + FAILURE_PENALTY * load.failureRate) * (1 + Math.random() * 0.2);
            if (cost < bestCost) {
                best = server;
                bestCost = cost;
            }
        }
        return best;
    }

    /**
     * Returns whether a request may be sent to a server now, given its limit while it is cold and the one that it names.
     *
     * @param server The server.
     * @returns Whether it may.
     */
    admits(server: RegisteredServer): boolean {
        const { serverLimits, serverLoads } = this.context;
        return serverLoads.admits(server, () => this.#coldLimit(server)) && serverLimits.admits(server);
    }

    /** Requests that this instance may send to a cold server in one second: its share of the server's limit. */
    #coldLimit({ id, service }: RegisteredServer): number {
        const { directory, instanceCount, serverSubset } = this.context;
        const perSecond = directory.findService(service)?.coldRequestsPerSecond ?? 0;
        if (perSecond <= 0) {
            return Number.POSITIVE_INFINITY;
        }
        const share = Math.floor(perSecond / instanceCount());
        // If the limit is lower than the number of instances, only some of them send requests to the server.
        return share >= 1 ? share : serverSubset.isTopRanked(id, Math.max(1, Math.floor(perSecond))) ? 1 : 0;
    }
}
