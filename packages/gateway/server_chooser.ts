import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { ListedServer } from "../directory/mod.ts";
import type { GatewayServices } from "./gateway_services.ts";

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
    constructor(private readonly services: GatewayServices) {}

    /**
     * Chooses a server.
     *
     * @param service Name of the service.
     * @param tried Servers that the request was sent to already.
     * @returns The server, or undefined if none may be used.
     */
    choose(service: string, tried: ReadonlySet<string>): ListedServer | undefined {
        const { directory, book } = this.services;
        const now = monotonicMilliseconds();
        let best: ListedServer | undefined;
        let bestCost = Number.POSITIVE_INFINITY;
        const servers = directory.usableServers(service);
        // A server without a recent answer is taken for as fast as the fastest, so that it gets a request.
        const fastest = Math.min(
            ...servers.map(({ id }) => book.of(id).averageMilliseconds ?? Number.POSITIVE_INFINITY),
        );
        for (const server of servers) {
            if (tried.has(server.id) || !book.admits(server, this.coldLimit(service))) {
                continue;
            }
            const load = book.of(server.id);
            const expected = load.averageMilliseconds ?? (Number.isFinite(fastest) ? fastest : 1);
            const waiting = (load.total().active + 1) / Math.max(1, server.slots);
            const avoided = load.avoidedUntil > now ? 1e6 : 0;
            const cost = expected * waiting * (1 + LOSS_PENALTY * load.lossRate) * (1 + Math.random() * 0.2)
                + avoided;
            if (cost < bestCost) {
                best = server;
                bestCost = cost;
            }
        }
        return best;
    }

    /**
     * Computes what this instance may send to a cold server in one second.
     *
     * @param service Name of the service.
     * @returns The number of requests.
     */
    coldLimit(service: string): number {
        const { directory, settings } = this.services;
        const perSecond = directory.findService(service)?.coldRequestsPerSecond ?? 0;
        if (perSecond <= 0) {
            return Number.POSITIVE_INFINITY;
        }
        const whole = perSecond * settings().bounds.coldExcess + settings().bounds.coldSlack;
        return Math.max(1, Math.floor(Math.min(whole, perSecond) / this.services.instanceCount()));
    }
}
