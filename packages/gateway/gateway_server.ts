import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import { parseAddress } from "../instances/mod.ts";
import { AdmissionCheck } from "./admission_check.ts";
import { DecodeQueue } from "./decode_queue.ts";
import { EngineClient } from "./engine_client.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import { headerOf } from "./header_of.ts";
import { PlainForwarder } from "./plain_forwarder.ts";
import { PrefillDispatcher } from "./prefill_dispatcher.ts";
import type { RateLimiter } from "./rate_limiter.ts";
import { readRequestBody } from "./read_request_body.ts";
import { sendRefusal } from "./send_refusal.ts";
import { StreamForwarder } from "./stream_forwarder.ts";

/** Largest request head that is parsed at all; the configuration's limit is checked on it. */
const MAXIMUM_PARSED_HEADER_BYTES = 65_536;
/** Limits before the first configuration is known, in milliseconds. */
const DEFAULT_IDLE_MILLISECONDS = 15_000;
const DEFAULT_HEADER_MILLISECONDS = 3_000;
/** Time in milliseconds that a caller may take to send a body. */
const BODY_MILLISECONDS = 10_000;

/**
 * Front door: reads callers' requests, admits them and has them forwarded.
 *
 * @example
 * ```ts
 * const server = new GatewayServer(services, limiter);
 * await server.listen("10.0.0.5:8080");
 * await server.close();
 * ```
 */
export class GatewayServer {
    readonly #server: Server;
    readonly #admission: AdmissionCheck;
    readonly #queue: DecodeQueue;
    readonly #plain: PlainForwarder;
    readonly #streams: StreamForwarder;
    readonly #sockets = new Map<Socket, { busy: boolean; }>();
    #active = 0;
    #leaving = false;

    /**
     * @param services What the gateway works with.
     * @param limiter Limits of organisations.
     */
    constructor(
        private readonly services: GatewayContext,
        private readonly limiter: RateLimiter,
    ) {
        this.#admission = new AdmissionCheck(services);
        const caller = new EngineClient(services);
        const prefill = new PrefillDispatcher(services);
        this.#queue = new DecodeQueue(services, caller, prefill);
        this.#plain = new PlainForwarder(services);
        this.#streams = new StreamForwarder(services, this.#queue, caller, prefill);
        this.#server = createServer({
            maxHeaderSize: MAXIMUM_PARSED_HEADER_BYTES,
            keepAliveTimeout: DEFAULT_IDLE_MILLISECONDS,
            headersTimeout: DEFAULT_HEADER_MILLISECONDS,
            requestTimeout: BODY_MILLISECONDS,
            connectionsCheckingInterval: 500,
            noDelay: true,
            // A response must be able to carry the headers of a server without additions.
            requireHostHeader: false,
        });
        this.#server.on("request", (request, response) => this.#accept(request, response));
        this.#server.on("connection", (socket: Socket) => {
            this.#sockets.set(socket, { busy: false });
            socket.on("close", () => this.#sockets.delete(socket));
        });
        services.directory.onChange(() => this.#applyLimits());
        services.metrics.gauge("gateway_requests_active", () => this.#active);
        services.metrics.gauge("decode_queue_length", () => this.#queue.length);
    }

    /** Number of requests under way. */
    get active(): number {
        return this.#active;
    }

    /** Number of open connections of callers. */
    get connections(): number {
        return this.#sockets.size;
    }

    /**
     * Opens the port.
     *
     * @param address IP number and port.
     * @returns A promise that resolves once the port is open.
     * @throws {Error} If the port is in use.
     */
    async listen(address: string): Promise<void> {
        const { host, port } = parseAddress(address);
        this.#server.listen({ host, port, backlog: 1_024 });
        await once(this.#server, "listening");
    }

    /** Asks callers to use other connections: each answer from now on closes its connection. */
    disableKeepAlive(): void {
        this.#leaving = true;
    }

    /** Stops accepting connections and closes those without a request. */
    stopAccepting(): void {
        this.#server.close();
        this.closeIdle();
    }

    /**
     * Refuses, from now on, requests that may take longer than the instance has left.
     *
     * @param endsAt Monotonic time in milliseconds at which what is under way is cut.
     */
    refuseDeadlinesAfter(endsAt: number): void {
        this.#admission.latestDeadline = endsAt;
    }

    /** Closes connections without a request. */
    closeIdle(): void {
        this.#server.closeIdleConnections();
    }

    /** Closes every connection. */
    close(): void {
        this.#server.close();
        this.#server.closeAllConnections();
        this.#queue.close();
    }

    #applyLimits(): void {
        const limits = this.services.directory.configuration?.limits;
        if (limits) {
            this.#server.keepAliveTimeout = limits.idleTimeoutMilliseconds;
            this.#server.headersTimeout = limits.headerTimeoutMilliseconds;
        }
    }

    #accept(incoming: IncomingMessage, response: ServerResponse): void {
        this.#active++;
        response.sendDate = false;
        if (this.#leaving) {
            response.shouldKeepAlive = false;
        }
        response.on("close", () => {
            this.#active--;
        });
        response.on("error", () => {});
        this.#serve(incoming, response).catch((error: unknown) => {
            const message = error instanceof Error ? error.stack ?? error.message : String(error);
            const now = monotonicMilliseconds();
            this.services.logger.error("request failed inside the router", { error: message });
            sendRefusal({ id: "", receivedAt: now, callerDeadline: now, response }, {
                status: 500,
                reason: "internal-error",
                verdict: "may-have-run",
                message: "The router failed",
            }, this.services);
        });
    }

    async #serve(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
        const receivedAt = monotonicMilliseconds();
        const abort = new AbortController();
        response.on("close", () => {
            if (!response.writableFinished) {
                abort.abort("caller-gone");
            }
        });
        const admission = this.#admission.admit(incoming, response, receivedAt, abort.signal);
        const id = headerOf(incoming, this.services.headers.requestId) ?? "";
        const early = { id, receivedAt, callerDeadline: receivedAt + 3_000, response };
        if (admission.kind === "refused") {
            // The body is not read, so the connection cannot carry another request.
            response.shouldKeepAlive = response.shouldKeepAlive && !hasBody(incoming);
            sendRefusal(early, admission.refusal, this.services);
            incoming.resume();
            return;
        }
        const body = await readRequestBody(incoming, this.#maximumBodyBytes());
        if (body.kind === "too-large") {
            response.shouldKeepAlive = false;
            const message = "The body is too large";
            sendRefusal(early, { status: 413, reason: "body-too-large", verdict: "not-run", message }, this.services);
            return;
        }
        if (body.kind === "broken") {
            response.destroy();
            return;
        }
        const request: GatewayRequest = { ...admission.request, body: body.bytes };
        const timer = setTimeout(() => abort.abort("deadline"), request.deadline - monotonicMilliseconds());
        try {
            await this.#forward(request);
        }
        finally {
            clearTimeout(timer);
        }
    }

    async #forward(request: GatewayRequest): Promise<void> {
        const { retries, metrics } = this.services;
        if (this.services.crashes.isBlocked(request)) {
            const message = "Servers have crashed each time that the request ran";
            sendRefusal(request, {
                status: 502,
                reason: "request-crashes-servers",
                verdict: "may-have-run",
                message,
            }, this.services);
            return;
        }
        const charge = this.limiter.charge(request);
        if (charge.isErr()) {
            sendRefusal(request, charge.error, this.services);
            return;
        }
        retries.recordRequest(request.service.name);
        metrics.increment("gateway_requests_total", { kind: request.route.kind });
        const verdict = await (request.service.engine ? this.#streams : this.#plain).forward(request);
        if (verdict === "not-run") {
            charge.value.refund();
        }
    }

    #maximumBodyBytes(): number {
        return this.services.directory.configuration?.limits.maximumBodyBytes ?? 0;
    }
}

function hasBody(incoming: IncomingMessage): boolean {
    const length = incoming.headers["content-length"];
    return incoming.headers["transfer-encoding"] !== undefined || (length !== undefined && length !== "0");
}
