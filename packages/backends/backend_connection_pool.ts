import { err, ok, type Result } from "neverthrow";
import { type ClientRequest, type IncomingMessage, request as startRequest } from "node:http";
import { pollConnections } from "../connections/mod.ts";
import { parseAddress } from "../instances/mod.ts";
import { BackendAgent } from "./_backend_agent.ts";
import type { BackendFault } from "./backend_fault.ts";
import type { BackendRequest } from "./backend_request.ts";
import type { BackendResponse } from "./backend_response.ts";
import { onBackendResponse } from "./on_backend_response.ts";

/** Time in milliseconds within which a connection must be established. */
const CONNECT_TIMEOUT_MILLISECONDS = 1_000;

/**
 * Pool of persistent connections to backend servers. Sends each request once, without retries.
 *
 * @example
 * ```ts
 * const pool = new BackendConnectionPool();
 * const request = { address, method: "GET", path: "/", headers: [], timeoutMilliseconds: 500 };
 * const response = await pool.send(request);
 * pool.close();
 * ```
 */
export class BackendConnectionPool {
    readonly #agents = new Map<string, BackendAgent>();

    /**
     * @param sourceAddress IP address from which connections are opened. Default: chosen by the system.
     */
    constructor(private readonly sourceAddress?: string) {}

    /**
     * Sends a request and waits for the headers of its response.
     *
     * @param request The request.
     * @returns The response, or why there is none and whether the request may have run.
     */
    send(request: BackendRequest): Promise<Result<BackendResponse, BackendFault>> {
        return new Promise(resolve => {
            if (request.signal?.aborted) {
                const message = "The request was given up";
                resolve(err({ kind: "aborted", verdict: "not-run", message, portClosed: false }));
                return;
            }
            const agent = this.#getAgent(request.address);
            // A late second answer to an earlier send has the same id; it can only arrive on that send's connection.
            const isRepeated = request.correlation?.value !== undefined
                && agent.recordSend(request.correlation.value);
            const started = startSend(
                request,
                isRepeated || request.newConnection === true ? false : agent,
                this.sourceAddress,
            );
            if (started.isErr()) {
                resolve(err(started.error));
                return;
            }
            const outgoing = started.value;
            let connected = false;
            let settled = false;
            let received: IncomingMessage | undefined;
            const abort = () => fail("aborted", "The request was given up");
            // After a standstill of the process, timers come before what has arrived meanwhile.
            const connectTimer = setTimeout(async () => {
                await pollConnections();
                if (!connected && !settled) {
                    fail("unreachable", "The connection was not established in time");
                }
            }, CONNECT_TIMEOUT_MILLISECONDS);
            const responseTimer = setTimeout(async () => {
                await pollConnections();
                if (!settled) {
                    fail("timeout", "No answer in time");
                }
            }, request.timeoutMilliseconds);
            const settle = () => {
                settled = true;
                clearTimeout(connectTimer);
                clearTimeout(responseTimer);
            };
            const fail = (kind: BackendFault["kind"], message: string, portClosed = false) => {
                if (!settled) {
                    settle();
                    request.signal?.removeEventListener("abort", abort);
                    resolve(err({ kind, verdict: connected ? "may-have-run" : "not-run", message, portClosed }));
                }
                outgoing.destroy();
            };
            request.signal?.addEventListener("abort", abort, { once: true });
            onConnected(outgoing, () => {
                connected = true;
            });
            outgoing.on("error", (error: NodeJS.ErrnoException) => {
                // Bytes after the end of a complete response close its connection; the response itself is sound.
                if (!received?.complete) {
                    fail(connected ? "reset" : "unreachable", error.message, error.code === "ECONNREFUSED");
                }
            });
            outgoing.on("close", () => request.signal?.removeEventListener("abort", abort));
            onBackendResponse(outgoing, request.correlation, response => {
                received = response.body;
                if (belongsToAnother(request, response, agent)) {
                    fail("crossed", "The answer belongs to another request");
                    return;
                }
                agent.applyKeepAlive(response.headers["keep-alive"] ?? "");
                if (settled) {
                    outgoing.destroy();
                    return;
                }
                settle();
                resolve(ok(response));
            }, reason => fail("malformed", reason));
            outgoing.end(request.body);
        });
    }

    /**
     * Closes the connections to servers that are no longer registered, unless they are in use.
     *
     * @param addresses Addresses of the registered servers.
     */
    retain(addresses: ReadonlySet<string>): void {
        for (const [address, agent] of this.#agents) {
            const busy = Object.keys(agent.sockets).length > 0;
            if (!addresses.has(address) && !busy) {
                agent.destroy();
                this.#agents.delete(address);
            }
        }
    }

    /** Closes every connection. */
    close(): void {
        for (const agent of this.#agents.values()) {
            agent.destroy();
        }
        this.#agents.clear();
    }

    #getAgent(address: string): BackendAgent {
        let agent = this.#agents.get(address);
        if (!agent) {
            agent = new BackendAgent();
            this.#agents.set(address, agent);
        }
        return agent;
    }
}

/** Starts a request; Node throws for an address or header that cannot be used, before anything is sent. */
function startSend(
    request: BackendRequest,
    agent: BackendAgent | false,
    localAddress: string | undefined,
): Result<ClientRequest, BackendFault> {
    try {
        return ok(startRequest({ ...createRequestOptions(request), agent, localAddress }));
    }
    catch (error) {
        const message = `The request cannot be sent: ${error instanceof Error ? error.message : String(error)}`;
        return err({ kind: "unreachable", verdict: "not-run", message, portClosed: false });
    }
}

/** Whether a response names another request. Servers may name none, or any, in responses to calls without an id. */
function belongsToAnother(
    { correlation }: BackendRequest,
    { headers }: BackendResponse,
    agent: BackendAgent,
): boolean {
    const named = correlation && headers[correlation.header];
    if (correlation?.value === undefined) {
        return named !== undefined && agent.hasSent(named);
    }
    return named !== correlation.value;
}

function createRequestOptions(request: BackendRequest) {
    const { host, port } = parseAddress(request.address);
    const headers = request.body || request.method === "POST"
        ? [...request.headers, "Content-Length", String(request.body?.length ?? 0)]
        : request.headers;
    return { host, port, method: request.method, path: request.path, headers, setHost: false };
}

function onConnected(outgoing: ClientRequest, listener: () => void): void {
    outgoing.on("socket", socket => {
        if (socket.connecting) {
            socket.once("connect", listener);
        }
        else {
            listener();
        }
    });
}
