import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import type { GatewayContext } from "./gateway_context.ts";

/** Weight of the part of a server's requests that fail, in its expected time. */
const LOSS_PENALTY = 6;

/**
 * Chooses backend servers of plain services by the time that an answer is expected to take.
 *
 * @example
 * ```ts
 * const server = new ServerChooser(services).choose("orders", new Set());
 * ```
 */
export class ServerChooser {
    /**
     * @param services What the gateway works with.
     */
    constructor(private readonly services: GatewayContext) {}

    /**
     * Chooses a server.
     *
     * @param service Name of the service.
     * @param tried Servers that the request was sent to already.
     * @returns The server, or undefined if none may be used.
     */
    choose(service: string, tried: ReadonlySet<string>): RegisteredServer | undefined {
        const { directory, serverLoads: book } = this.services;
        const now = monotonicMilliseconds();
        let best: RegisteredServer | undefined;
        let bestCost = Number.POSITIVE_INFINITY;
        const servers = directory.usableServers(service);
        // A server without a recent answer is taken for as fast as the fastest, so that it gets a request.
        const fastest = Math.min(
            ...servers.map(({ id }) => book.get(id).averageResponseMilliseconds ?? Number.POSITIVE_INFINITY),
        );
        const untried = servers.filter(server => !tried.has(server.id) && this.admits(server));
        const sound = untried.filter(({ id }) => book.get(id).avoidedUntil <= now);
        const freshness = this.services.peerLoadWeight();
        for (const server of this.services.subset.narrow(sound.length > 0 ? sound : untried, servers.length)) {
            const load = book.get(server.id);
            const expected = load.averageResponseMilliseconds ?? (Number.isFinite(fastest) ? fastest : 1);
            const waiting = (load.total(freshness).active + 1) / Math.max(1, server.slots);
            const cost = expected * waiting * (1 + LOSS_PENALTY * load.failureRate) * (1 + Math.random() * 0.2);
            if (cost < bestCost) {
                best = server;
                bestCost = cost;
            }
        }
        return best;
    }

    /**
     * Tells whether a request may be sent to a server now, given what it bears while it is cold.
     *
     * @param server The server.
     * @returns Whether it may.
     */
    admits(server: RegisteredServer): boolean {
        return this.services.serverLoads.admits(server, () => this.#coldLimit(server));
    }

    /** Requests that this instance may send to a cold server in one second, as its part of what all may send. */
    #coldLimit({ id, service }: RegisteredServer): number {
        const { directory, instanceCount, subset } = this.services;
        const perSecond = directory.findService(service)?.coldRequestsPerSecond ?? 0;
        if (perSecond <= 0) {
            return Number.POSITIVE_INFINITY;
        }
        const share = Math.floor(perSecond / instanceCount());
        // With fewer requests than instances, only some of the instances send to the server at all.
        return share >= 1 ? share : subset.isTopRanked(id, Math.max(1, Math.floor(perSecond))) ? 1 : 0;
    }
}
