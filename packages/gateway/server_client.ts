import type { Result } from "neverthrow";
import type { BackendConnectionPool, BackendFault, BackendRequest, BackendResponse } from "../backends/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import type { LeavingServers } from "./leaving_servers.ts";
import type { PausedServers } from "./paused_servers.ts";
import type { ProtocolHeaders } from "./protocol_headers.ts";
import type { ServerLimits } from "./server_limits.ts";

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
 * const client = new ServerClient(connectionPool, headers, leavingServers, pausedServers, serverLimits);
 * const request = { method: "GET", path: "/", headers: [], timeoutMilliseconds: 500 };
 * const response = await client.send(server, request);
 * ```
 */
export class ServerClient {
    /**
     * @param connectionPool Connections to the servers.
     * @param headers Names of the headers.
     * @param leavingServers Servers that have said that they leave.
     * @param pausedServers Servers that have asked for a pause.
     * @param serverLimits Limits that servers have named.
     */
    constructor(
        private readonly connectionPool: BackendConnectionPool,
        private readonly headers: ProtocolHeaders,
        private readonly leavingServers: LeavingServers,
        private readonly pausedServers: PausedServers,
        private readonly serverLimits: ServerLimits,
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
        const isRequest = request.correlation?.value !== undefined;
        if (isRequest) {
            this.serverLimits.take(server);
        }
        const response = await this.connectionPool.send({ ...request, address: server.address });
        if (response.isOk()) {
            this.#recordNotices(server, response.value, isRequest);
        }
        return response;
    }

    #recordNotices(server: RegisteredServer, { status, headers }: BackendResponse, isRequest: boolean): void {
        if (status === ANOTHER_SERVER_STATUS) {
            return;
        }
        if (headers[this.headers.leaving] === LEAVING_VALUE) {
            this.leavingServers.record(server, "answer");
        }
        const limit = headers[this.headers.limit];
        this.serverLimits.record(server, typeof limit === "string" ? limit : undefined, isRequest);
        const retryAfter = headers["retry-after"];
        if (status === UNAVAILABLE_STATUS && retryAfter !== undefined) {
            this.pausedServers.record(server, retryAfter, headers["date"]);
        }
    }
}
