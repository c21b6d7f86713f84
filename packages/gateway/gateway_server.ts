import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { ConnectionBound } from "../connections/mod.ts";
import { HalfClosedCallers } from "../half_close/mod.ts";
import { listen } from "../instances/mod.ts";
import { PortCloser } from "../listening/mod.ts";
import type { PipeliningLimit } from "../pipelining/mod.ts";
import { applyCallerLimits } from "./_apply_caller_limits.ts";
import { boundConnections } from "./_bound_connections.ts";
import { AdmissionCheck } from "./admission_check.ts";
import { CallerConnections } from "./caller_connections.ts";
import type { CallerExchange } from "./caller_exchange.ts";
import { computeHeadMemory } from "./compute_head_memory.ts";
import { createPipeliningLimit } from "./create_pipelining_limit.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { headerOf } from "./header_of.ts";
import type { RateLimiter } from "./rate_limiter.ts";
import { readRequestBody } from "./read_request_body.ts";
import { refuseUnread } from "./refuse_unread.ts";
import { RequestForwarder } from "./request_forwarder.ts";
import { RequestMemory } from "./request_memory.ts";
import { sendRefusal } from "./send_refusal.ts";

/** Limit of the HTTP parser for headers; the configuration's limit is checked after parsing. */
const MAXIMUM_PARSED_HEADER_BYTES = 65_536;
/** Timeouts in milliseconds before the first configuration is known. */
const DEFAULT_IDLE_MILLISECONDS = 15_000;
const DEFAULT_HEADER_MILLISECONDS = 3_000;
/** Time in milliseconds that a caller may take to send a request with its body; at least the time for its headers. */
const REQUEST_TIMEOUT_MILLISECONDS = 10_000;

/**
 * HTTP server for callers: reads requests, checks their admission and forwards them.
 *
 * @example
 * ```ts
 * const server = new GatewayServer(context, rateLimiter);
 * await server.listen("10.0.0.5:8080");
 * server.close();
 * ```
 */
export class GatewayServer {
    /** Closes the port. */
    readonly portCloser: PortCloser;
    /** The connections of callers. */
    readonly connections: CallerConnections;
    readonly #server: Server;
    readonly #halfClosedCallers: HalfClosedCallers;
    readonly #pipeliningLimit: PipeliningLimit;
    readonly #connectionBound: ConnectionBound;
    readonly #admission: AdmissionCheck;
    readonly #forwarder: RequestForwarder;
    /** Aborts each request that has not been answered. */
    readonly #aborts = new Map<AbortController, ServerResponse>();
    #active = 0;
    #keepAliveDisabled = false;

    /**
     * @param context Shared objects of the gateway.
     * @param rateLimiter Rate limits of organisations.
     */
    constructor(
        private readonly context: GatewayContext,
        rateLimiter: RateLimiter,
    ) {
        this.#admission = new AdmissionCheck(context);
        this.#forwarder = new RequestForwarder(context, rateLimiter);
        this.#server = createServer({
            maxHeaderSize: MAXIMUM_PARSED_HEADER_BYTES,
            keepAliveTimeout: DEFAULT_IDLE_MILLISECONDS,
            headersTimeout: DEFAULT_HEADER_MILLISECONDS,
            requestTimeout: REQUEST_TIMEOUT_MILLISECONDS,
            connectionsCheckingInterval: 500,
            noDelay: true,
            requireHostHeader: false,
        });
        this.#pipeliningLimit = createPipeliningLimit(context, this.#server);
        this.#halfClosedCallers = new HalfClosedCallers(this.#server, this.#pipeliningLimit);
        this.connections = new CallerConnections(
            context,
            this.#server,
            this.#halfClosedCallers,
            this.#pipeliningLimit,
        );
        this.portCloser = new PortCloser(this.#server, context.logger);
        this.#connectionBound = boundConnections(this.#server, this.connections, context);
        this.#server.on("request", (request, response) => this.#handle(request, response));
        context.directory.onChange(() =>
            applyCallerLimits(this.#server, this.#pipeliningLimit, context, REQUEST_TIMEOUT_MILLISECONDS)
        );
        context.metrics.gauge("gateway_requests_active", () => this.#active);
    }

    /** Number of active requests. */
    get active(): number {
        return this.#active;
    }

    /**
     * Opens the port.
     *
     * @param address IP address and port.
     * @returns A promise that resolves once the port is open.
     * @throws {Error} If the port stays in use.
     */
    async listen(address: string): Promise<void> {
        await listen(this.#server, address);
    }

    /** Makes each response from now on close its connection, so that callers connect elsewhere. */
    disableKeepAlive(): void {
        this.#keepAliveDisabled = true;
    }

    /**
     * Refuses new requests that may take longer than the instance will run.
     *
     * @param latestDeadline Returns the monotonic time in milliseconds at which active requests are aborted.
     */
    refuseDeadlinesAfter(latestDeadline: () => number): void {
        this.#admission.latestDeadline = latestDeadline;
    }

    /** Ends the active requests whose answers have not begun; they get a refusal. */
    abortUnanswered(): void {
        this.#aborts.forEach((response, abort) => {
            if (!response.headersSent) {
                abort.abort("shutting-down");
            }
        });
    }

    /** Ends the active requests; those without a response so far get a refusal. */
    abortActive(): void {
        this.#aborts.forEach((_response, abort) => abort.abort("shutting-down"));
    }

    /** Closes every connection. */
    close(): void {
        this.connections.beginShutdown();
        this.#server.close();
        this.#server.closeAllConnections();
        this.#forwarder.close();
    }

    #handle(incoming: IncomingMessage, response: ServerResponse): void {
        this.#active++;
        // A relayed response has the headers of its server without additions.
        response.sendDate = false;
        if (this.#keepAliveDisabled) {
            // Requests that have been read already are answered too.
            response.shouldKeepAlive = this.#pipeliningLimit.hasFurtherRequest(incoming.socket);
        }
        response.on("close", () => {
            this.#active--;
        });
        response.on("error", () => {});
        const exchange = this.connections.begin(incoming, response);
        if (exchange.end) {
            incoming.resume();
            return;
        }
        const { id, receivedAt } = exchange;
        this.#serve(incoming, response, exchange).catch((error: unknown) => {
            const message = error instanceof Error ? error.stack ?? error.message : String(error);
            this.context.logger.error("request failed inside the router", { request: id, error: message });
            sendRefusal({ id, receivedAt, callerDeadline: receivedAt, response, exchange }, {
                status: 500,
                reason: "internal-error",
                verdict: "may-have-run",
                message: "The router failed",
            }, this.context);
        });
    }

    async #serve(incoming: IncomingMessage, response: ServerResponse, exchange: CallerExchange): Promise<void> {
        const { id, receivedAt } = exchange;
        const abort = new AbortController();
        this.#aborts.set(abort, response);
        response.on("close", () => {
            this.#aborts.delete(abort);
            if (!response.writableFinished) {
                abort.abort("caller-gone");
            }
        });
        this.#halfClosedCallers.whenUncertain(response, () => {
            if (!exchange.isCommitted) {
                exchange.end ??= { by: "caller", reason: "half-closed" };
                abort.abort("half-closed");
            }
        });
        const resumedStream = { firstAttempt: headerOf(incoming, this.context.headers.resumedAttempt) };
        const unreadRequest = { id, receivedAt, callerDeadline: receivedAt + 3_000, resumedStream, response, exchange };
        if (this.#connectionBound.isBeyond(incoming.socket)) {
            refuseUnread(unreadRequest, "too-many-connections", this.context);
            return;
        }
        if (this.portCloser.isClosing) {
            await this.portCloser.hold();
        }
        const admission = this.#admission.admit(incoming, response, receivedAt, abort.signal);
        if (admission.kind === "refused") {
            sendRefusal(unreadRequest, admission.refusal, this.context);
            return;
        }
        const { deadline } = admission.request;
        const maximumBodyBytes = this.#maximumBodyBytes();
        const declaredBytes = Number(incoming.headers["content-length"] ?? 0);
        if (declaredBytes > maximumBodyBytes) {
            refuseUnread(unreadRequest, "too-large", this.context);
            return;
        }
        const headBytes = computeHeadMemory(incoming);
        const held = this.#pipeliningLimit.takeHeadMemory(incoming.socket);
        const memory = RequestMemory.tryOpen(this.context.memory, headBytes, declaredBytes, held);
        if (!memory) {
            const canEverFit = RequestMemory.canEverFit(this.context.memory, headBytes, declaredBytes);
            refuseUnread(unreadRequest, canEverFit ? "memory-full" : "too-large", this.context);
            return;
        }
        response.on("close", () => memory.close());
        const timer = setTimeout(() => abort.abort("deadline"), deadline - monotonicMilliseconds());
        try {
            const body = await readRequestBody(incoming, maximumBodyBytes, memory, exchange, abort.signal);
            if (body.kind === "read") {
                if (await this.#halfClosedCallers.hasLeft(incoming)) {
                    return;
                }
                if (abort.signal.aborted) {
                    refuseUnread({ ...unreadRequest, signal: abort.signal }, "given-up", this.context);
                    return;
                }
                const request = { ...admission.request, body: body.bytes, memory, exchange };
                // The instance may have begun to leave while the body arrived.
                const refusal = this.#admission.refuseLateDeadline(deadline);
                if (refusal) {
                    sendRefusal(request, refusal, this.context);
                    return;
                }
                await this.#forwarder.forward(request);
            }
            else if (body.kind === "broken" || abort.signal.reason === "caller-gone") {
                response.destroy();
            }
            else {
                refuseUnread({ ...unreadRequest, signal: abort.signal }, body.kind, this.context);
            }
        }
        finally {
            clearTimeout(timer);
        }
    }

    #maximumBodyBytes(): number {
        return this.context.directory.configuration?.limits.maximumBodyBytes ?? 0;
    }
}
