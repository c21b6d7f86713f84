import type { Result } from "neverthrow";
import type { BackendConnectionPool, BackendFault, BackendRequest, BackendResponse } from "../backends/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import type { ReachabilityMonitor } from "../reachability/mod.ts";
import type { LeavingServers } from "./leaving_servers.ts";
import type { PausedServers } from "./paused_servers.ts";
import type { ProtocolHeaders } from "./protocol_headers.ts";
import type { ServerLimits } from "./server_limits.ts";

/** What is told of the responses of servers. */
interface ResponseObservers {
    /** Servers that have said that they leave. */
    leavingServers: LeavingServers;
    /** Servers that have asked for a pause. */
    pausedServers: PausedServers;
    /** Limits that servers have named. */
    serverLimits: ServerLimits;
    /** Decides whether this instance is partitioned from all servers. */
    reachability: ReachabilityMonitor;
}

/** Status of a response by another server than the expected one. */
const ANOTHER_SERVER_STATUS = 421;
const LEAVING_VALUE = "1";
/** Status with which a server turns a request away. */
const UNAVAILABLE_STATUS = 503;

/**
 * Sends requests to backend servers and records what the servers say of themselves in the headers of their responses.
 *
 * @example
 * ```ts
 * const client = new ServerClient(connectionPool, headers, observers);
 * const request = { method: "GET", path: "/", headers: [], timeoutMilliseconds: 500 };
 * const response = await client.send(server, request);
 * ```
 */
export class ServerClient {
    /**
     * @param connectionPool Connections to the servers.
     * @param headers Names of the headers.
     * @param observers Told of the responses of servers.
     */
    constructor(
        private readonly connectionPool: BackendConnectionPool,
        private readonly headers: ProtocolHeaders,
        private readonly observers: ResponseObservers,
    ) {}

    /**
     * Sends a request and waits for the headers of its response.
     *
     * @param server The server.
     * @param request The request.
     * @returns The response, or why there is none and whether the request may have run.
     */
    async send(
        server: RegisteredServer,
        request: Omit<BackendRequest, "address">,
    ): Promise<Result<BackendResponse, BackendFault>> {
        // Calls of the router itself bear no id of a request.
        const { serverLimits, reachability } = this.observers;
        const isRequest = request.correlation?.value !== undefined;
        if (isRequest) {
            serverLimits.take(server);
        }
        const call = reachability.beginCall(server.id);
        const response = await this.connectionPool.send({ ...request, address: server.address });
        reachability.endCall(call);
        if (response.isOk()) {
            reachability.recordAnswer(server.id);
            this.#recordNotices(server, response.value, isRequest);
        }
        else {
            this.#recordFault(server, response.error.kind);
        }
        return response;
    }

    #recordFault({ id }: RegisteredServer, kind: BackendFault["kind"]): void {
        if (kind === "unreachable" || kind === "reset" || kind === "timeout") {
            this.observers.reachability.recordFault(id, kind);
        }
        else if (kind !== "aborted") {
            this.observers.reachability.recordAnswer(id);
        }
    }

    #recordNotices(server: RegisteredServer, { status, headers }: BackendResponse, isRequest: boolean): void {
        const { leavingServers, serverLimits, pausedServers } = this.observers;
        if (status === ANOTHER_SERVER_STATUS) {
            return;
        }
        if (headers[this.headers.leaving] === LEAVING_VALUE) {
            leavingServers.record(server, "answer");
        }
        const limit = headers[this.headers.limit];
        serverLimits.record(server, typeof limit === "string" ? limit : undefined, isRequest);
        const retryAfter = headers["retry-after"];
        if (status === UNAVAILABLE_STATUS && retryAfter !== undefined) {
            pausedServers.record(server, retryAfter, headers["date"]);
        }
    }
}
