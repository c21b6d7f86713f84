import type { Directory, EngineStage, RegisteredServer } from "../directory/mod.ts";
import type { GatewayRefusal } from "./gateway_refusal.ts";
import type { LeavingServers } from "./leaving_servers.ts";
import type { PausedServers } from "./paused_servers.ts";
import type { ServerLimits } from "./server_limits.ts";

/** Delay in milliseconds after which a caller may retry when every server leaves. */
const RETRY_AFTER_MILLISECONDS = 300;
/** Delay in milliseconds after which a server of a version that is not in service may be back. */
const VERSION_RETRY_AFTER_MILLISECONDS = 1_000;
/** Time in milliseconds over which the callers that wait for the end of a pause or for a place are spread. */
const RETRY_SPREAD_MILLISECONDS = 500;
const PAUSED = { reason: "servers-paused" as const, message: "Every backend server has asked for a pause" };
const AT_LIMITS = { reason: "servers-at-limits" as const, message: "Every backend server has reached its limit" };
const NO_SERVERS: ReadonlySet<string> = new Set();

/**
 * Decides which registered servers may get requests now, given what they have said in their responses.
 *
 * @example
 * ```ts
 * const availability = new ServerAvailability(directory, leavingServers, pausedServers, serverLimits);
 * availability.usableServers("models", "decode");
 * ```
 */
export class ServerAvailability {
    /**
     * @param directory Registered servers.
     * @param leavingServers Servers that have said that they leave.
     * @param pausedServers Servers that have asked for a pause.
     * @param serverLimits Limits that servers have named.
     */
    constructor(
        private readonly directory: Directory,
        private readonly leavingServers: LeavingServers,
        private readonly pausedServers: PausedServers,
        private readonly serverLimits: ServerLimits,
    ) {}

    /**
     * Lists the servers of a service that may get requests.
     *
     * @param service Name of the service.
     * @param stage Stage of the engines; undefined for all servers.
     * @returns The servers.
     */
    usableServers(service: string, stage?: EngineStage): RegisteredServer[] {
        return this.#registeredServers(service, stage).filter(server => this.#isAvailable(server));
    }

    /**
     * Returns whether a server that was found earlier may still get requests.
     *
     * @param server The server as it was registered then.
     * @returns Whether it may.
     */
    isUsable(server: RegisteredServer): boolean {
        return this.directory.isUsable(server) && this.#isAvailable(server);
    }

    /**
     * Removes the servers that have said that they leave, if others remain.
     *
     * @param servers The servers.
     * @returns Those to prefer.
     */
    preferStaying(servers: RegisteredServer[]): RegisteredServer[] {
        const staying = servers.filter(server => !this.leavingServers.isLeaving(server));
        return staying.length > 0 ? staying : servers;
    }

    /**
     * Finds out whether a request can be refused at once, since every server that is registered for it has said that it
     * leaves, asked for a pause or reached the limit that it names.
     *
     * @param service Name of the service.
     * @param stage Stage of the engines; undefined for all servers.
     * @param excluded Ids of servers that the request must not use. Default: none.
     * @returns The refusal; undefined if a server may be used, or if none is registered.
     */
    findRefusal(service: string, stage?: EngineStage, excluded = NO_SERVERS): GatewayRefusal | undefined {
        const servers = this.#registeredServers(service, stage).filter(({ id }) => !excluded.has(id));
        const staying = servers.filter(server => !this.leavingServers.isExcluded(server));
        const waits = staying.map(server =>
            Math.max(
                this.pausedServers.remainingMilliseconds(server),
                this.serverLimits.waitMilliseconds(server),
            )
        );
        if (servers.length === 0 || waits.includes(0)) {
            return undefined;
        }
        const isPaused = staying.every(server => this.pausedServers.remainingMilliseconds(server) > 0);
        const refusal = { status: 503, verdict: "not-run" as const };
        return waits.length === 0
            ? {
                ...refusal,
                reason: "no-backend-server",
                message: "Every backend server has said that it leaves",
                retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
            }
            : {
                ...refusal,
                ...(isPaused ? PAUSED : AT_LIMITS),
                retryAfterMilliseconds: Math.min(...waits) + Math.random() * RETRY_SPREAD_MILLISECONDS,
            };
    }

    /**
     * Finds out whether a stream can be refused at once, since only servers of other versions than the one that began it may
     * get requests.
     *
     * @param service Name of the service.
     * @param softwareVersion The version.
     * @returns The refusal; undefined if a server of the version is in service, or none of any.
     */
    refuseVersion(service: string, softwareVersion: string): GatewayRefusal | undefined {
        const servers = this.directory.usableServers(service);
        const isGone = servers.length > 0 && servers.every(server => server.softwareVersion !== softwareVersion);
        return !isGone ? undefined : {
            status: 503,
            reason: "stream-version-gone",
            verdict: "not-run",
            message: "Only servers of other software versions than the stream's are in service",
            retryAfterMilliseconds: VERSION_RETRY_AFTER_MILLISECONDS,
        };
    }

    #isAvailable(server: RegisteredServer): boolean {
        return !this.leavingServers.isExcluded(server) && this.pausedServers.remainingMilliseconds(server) === 0;
    }

    #registeredServers(service: string, stage: EngineStage | undefined): RegisteredServer[] {
        const servers = this.directory.usableServers(service);
        return stage === undefined ? servers : servers.filter(server => server.stage === stage);
    }
}
