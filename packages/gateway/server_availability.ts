import type { Directory, EngineStage, RegisteredServer } from "../directory/mod.ts";
import type { GatewayRefusal } from "./gateway_refusal.ts";
import type { LeavingServers } from "./leaving_servers.ts";

/** Delay in milliseconds after which a caller may retry when every server leaves. */
const RETRY_AFTER_MILLISECONDS = 300;

/**
 * Decides which registered servers may get requests now, given what they have said in their responses.
 *
 * @example
 * ```ts
 * const availability = new ServerAvailability(directory, leavingServers);
 * availability.usableServers("models", "decode");
 * ```
 */
export class ServerAvailability {
    /**
     * @param directory Registered servers.
     * @param leavingServers Servers that have said that they leave.
     */
    constructor(
        private readonly directory: Directory,
        private readonly leavingServers: LeavingServers,
    ) {}

    /**
     * Lists the servers of a service that may get requests.
     *
     * @param service Name of the service.
     * @param stage Stage of the engines; undefined for all servers.
     * @returns The servers.
     */
    usableServers(service: string, stage?: EngineStage): RegisteredServer[] {
        return this.#registeredServers(service, stage).filter(server => !this.leavingServers.isExcluded(server));
    }

    /**
     * Returns whether a server that was found earlier may still get requests.
     *
     * @param server The server as it was registered then.
     * @returns Whether it may.
     */
    isUsable(server: RegisteredServer): boolean {
        return this.directory.isUsable(server) && !this.leavingServers.isExcluded(server);
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
     * Finds out whether a request can be refused at once, since every server that is registered for it has withdrawn.
     *
     * @param service Name of the service.
     * @param stage Stage of the engines; undefined for all servers.
     * @returns The refusal; undefined if a server may be used, or if none is registered.
     */
    findRefusal(service: string, stage?: EngineStage): GatewayRefusal | undefined {
        const servers = this.#registeredServers(service, stage);
        if (servers.length === 0 || servers.some(server => this.isUsable(server))) {
            return undefined;
        }
        return {
            status: 503,
            reason: "no-backend-server",
            verdict: "not-run",
            message: "Every backend server has said that it leaves",
            retryAfterMilliseconds: RETRY_AFTER_MILLISECONDS,
        };
    }

    #registeredServers(service: string, stage: EngineStage | undefined): RegisteredServer[] {
        const servers = this.directory.usableServers(service);
        return stage === undefined ? servers : servers.filter(server => server.stage === stage);
    }
}
