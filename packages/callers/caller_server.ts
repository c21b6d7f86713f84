import { once } from "node:events";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import { hashKey } from "../configuration/mod.ts";
import { type ConnectionBound, pollConnections } from "../connections/mod.ts";
import { HalfClosedCallers } from "../half_close/mod.ts";
import { listen } from "../instances/mod.ts";
import { PortCloser } from "../listening/mod.ts";
import type { PipeliningLimit } from "../pipelining/mod.ts";
import { Refusal } from "../verdicts/mod.ts";
import { bodyCopies } from "./_body_copies.ts";
import { boundConnections } from "./_bound_connections.ts";
import { callerGone } from "./_caller_gone.ts";
import { createPipeliningLimit } from "./_create_pipelining_limit.ts";
import { createServer } from "./_create_server.ts";
import { discardBody } from "./_discard_body.ts";
import type { Exchange } from "./_exchange.ts";
import { ExchangeMemory } from "./_exchange_memory.ts";
import { failResponse } from "./_fail_response.ts";
import { LastResponses } from "./_last_responses.ts";
import { listModels } from "./_list_models.ts";
import { maximumBodyBytes } from "./_maximum_body_bytes.ts";
import { memoryFull } from "./_memory_full.ts";
import { MODEL_ENDPOINTS } from "./_model_endpoints.ts";
import { onClosed } from "./_on_closed.ts";
import { readBody } from "./_read_body.ts";
import { recordRequest } from "./_record_request.ts";
import { requestFailed } from "./_request_failed.ts";
import { reserveMemory } from "./_reserve_memory.ts";
import { serveOperationalPath } from "./_serve_operational_path.ts";
import { shuttingDown } from "./_shutting_down.ts";
import { tooManyConnections } from "./_too_many_connections.ts";
import { waitForCaller } from "./_wait_for_caller.ts";
import { withoutQuery } from "./_without_query.ts";
import { writeRefusal } from "./_write_refusal.ts";
import { authenticate } from "./authenticate.ts";
import type { CallerIdentity } from "./caller_identity.ts";
import type { CallerServerOptions } from "./caller_server_options.ts";

/** Time in milliseconds in which the port's queue is emptied even beyond the latest time. */
const LEAST_PORT_CLOSE_MILLISECONDS = 450;
const ANONYMOUS: CallerIdentity = { organisation: "", keyHash: "", key: "" };

/**
 * HTTP server for callers: model requests, routes of plain services, health checks and metrics.
 *
 * @example
 * ```ts
 * const server = new CallerServer(options);
 * await server.listen();
 * await server.close();
 * ```
 */
export class CallerServer {
    readonly #server: Server;
    readonly #pipeliningLimit: PipeliningLimit;
    readonly #halfClosedCallers: HalfClosedCallers;
    readonly #portCloser: PortCloser;
    readonly #connectionBound: ConnectionBound;
    readonly #lastResponses: LastResponses;
    #sequence = 0;
    /** Monotonic time in milliseconds from which no request is run. */
    #servesUntil = Number.POSITIVE_INFINITY;
    #leaving = false;
    #closed: Promise<unknown> | undefined;

    /**
     * @param options Dependencies of the server.
     */
    constructor(private readonly options: CallerServerOptions) {
        this.#server = createServer(options, (request, response) => {
            this.#serve(request, response).catch(error => failResponse(response, error, this.options.logger));
        });
        this.#pipeliningLimit = createPipeliningLimit(this.#server, options);
        // With a listener, Node.js does not close idle connections by itself.
        this.#server.on("timeout", socket => this.#pipeliningLimit.awaitArrival(socket) || socket.destroy());
        this.#lastResponses = new LastResponses(this.#pipeliningLimit);
        this.#halfClosedCallers = new HalfClosedCallers(this.#server, this.#pipeliningLimit);
        this.#portCloser = new PortCloser(this.#server, options.logger);
        this.#connectionBound = boundConnections(this.#server, this.#pipeliningLimit, options);
    }

    /**
     * Starts listening.
     *
     * @returns A promise that resolves once the port is open.
     * @throws {Error} If the port stays in use.
     */
    async listen(): Promise<void> {
        await listen(this.#server, this.options.settings.callersAddress);
    }

    /** Makes each response from now on announce the close of its connection, so that callers connect elsewhere. */
    leave(): void {
        this.#leaving = true;
    }

    /**
     * Stops accepting connections; requests that arrive meanwhile are held until then.
     *
     * @param latest Monotonic time in milliseconds at which the port is closed although connections still arrive. Requests
     *     that go on or arrive from then on are refused.
     * @returns A promise that resolves once the port is closed and the held requests have gone on.
     */
    async closePort(latest: number): Promise<void> {
        this.#servesUntil = latest;
        this.leave();
        this.#closed = once(this.#server, "close");
        await this.#portCloser.close(() => Math.max(latest, monotonicMilliseconds() + LEAST_PORT_CLOSE_MILLISECONDS));
    }

    /**
     * Closes the port unless it has been closed, waits for the requests in progress and closes.
     *
     * @returns A promise that resolves once every connection is closed.
     */
    async close(): Promise<void> {
        if (!this.#closed) {
            await this.closePort(Number.POSITIVE_INFINITY);
        }
        do {
            await this.options.active.whenIdle();
            await pollConnections();
        }
        while (this.options.active.size > 0);
        this.#pipeliningLimit.closeIdle();
        await this.#closed;
    }

    /** Closes every connection immediately, also those with a request in progress. */
    closeAllConnections(): void {
        this.#server.closeAllConnections();
    }

    async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        response.on("error", () => {});
        // A connection beyond the bound makes room for others, so its request is not held.
        if (this.#portCloser.isClosing && !this.#connectionBound.isBeyond(request.socket)) {
            await this.#portCloser.hold();
        }
        const startedAt = monotonicMilliseconds();
        const id = `${this.options.instanceId}/${this.#sequence++}`;
        response.setHeader("x-request-id", id);
        if (this.#lastResponses.isLast(request.socket) || request.socket.destroyed) {
            request.resume();
            return;
        }
        const isFinal = this.#closed !== undefined || this.#connectionBound.isBeyond(request.socket);
        if (this.#leaving || isFinal) {
            this.#lastResponses.announce(request, response, isFinal);
        }
        const path = request.url ?? "/";
        if (serveOperationalPath(path, response, this.options)) {
            return;
        }
        const closed = new Promise<void>(resolve => onClosed(request, response, resolve));
        let memory: ExchangeMemory | undefined;
        let refusal: Refusal | undefined;
        let organisation = "";
        try {
            const caller = this.#authenticate(request, path);
            if (caller instanceof Refusal) {
                refusal = caller;
            }
            else {
                organisation = caller.organisation;
                memory = reserveMemory(request, this.options, this.#pipeliningLimit);
                refusal = memory ? await this.#serveAuthenticated(request, response, id, caller, memory) : memoryFull();
            }
        }
        catch (error) {
            this.options.logger.error("request failed", { request: id, error: String(error) });
            refusal = requestFailed();
        }
        // What the response still holds is reserved until the caller has read it.
        void closed.then(() => memory?.close());
        if (refusal && !response.writableEnded) {
            if (refusal.reason === "memory-full" && !request.complete) {
                discardBody(request);
                memory?.close();
            }
            writeRefusal(response, refusal);
        }
        if (response.writableEnded) {
            void waitForCaller(response, "close");
        }
        recordRequest({ id, request, organisation, refusal, startedAt }, this.options);
    }

    #authenticate(request: IncomingMessage, path: string): CallerIdentity | Refusal {
        const { configuration, serviceHandler, keyedRequestRefusal, notReadyReason } = this.options;
        if (this.#connectionBound.isBeyond(request.socket)) {
            return tooManyConnections();
        }
        if (monotonicMilliseconds() >= this.#servesUntil) {
            return shuttingDown("not-run");
        }
        const reason = notReadyReason();
        if (reason !== undefined && reason !== "shutting down") {
            return new Refusal(503, "not-ready", "not-run", `The instance is not ready: ${reason}`, {
                retryAfterSeconds: 1,
            });
        }
        if (serviceHandler.findRoute(withoutQuery(path))?.route.open) {
            return ANONYMOUS;
        }
        const caller = authenticate(request.headers, configuration.document);
        if (caller.isErr()) {
            return caller.error;
        }
        return keyedRequestRefusal() ?? caller.value;
    }

    async #serveAuthenticated(
        request: IncomingMessage,
        response: ServerResponse,
        id: string,
        caller: CallerIdentity,
        memory: ExchangeMemory,
    ): Promise<Refusal | undefined> {
        const { active, configuration, invariants } = this.options;
        const entry = active.add(caller);
        onClosed(request, response, () => {
            if (!response.writableFinished) {
                entry.abortController.abort();
            }
        });
        // A once-only call that has been sent is not affected: its signal is only checked before it is sent.
        this.#halfClosedCallers.whenUncertain(response, () => entry.abortController.abort());
        try {
            const body = await readBody(
                request,
                maximumBodyBytes(request, this.options),
                bytes => memory.tryGrowRequest(bytes * bodyCopies(request)),
                () => ExchangeMemory.hasRoom(this.options.memory),
            );
            if (body.isErr()) {
                if (body.error.reason !== "memory-full") {
                    response.setHeader("connection", "close");
                }
                return body.error;
            }
            if (await this.#halfClosedCallers.hasLeft(request)) {
                return callerGone("not-run");
            }
            const path = request.url ?? "/";
            if (caller.key !== "" && (path.includes(caller.key) || body.value.includes(caller.key))) {
                const message = "The key may be sent only in the Authorization header";
                return new Refusal(400, "malformed-request", "not-run", message);
            }
            const exchange: Exchange = {
                id,
                caller,
                request,
                path,
                body: body.value,
                memory,
                response,
                signal: entry.abortController.signal,
                abort: refusal => entry.abortController.abort(refusal),
            };
            // The API key may have been revoked while the body was read.
            const keyOrganisation = configuration.document.keys[caller.keyHash]?.organisation;
            if (caller.keyHash !== "" && keyOrganisation !== caller.organisation) {
                return new Refusal(401, "key-withdrawn", "not-run", "The key was withdrawn");
            }
            invariants.check(
                "key-belongs-to-organisation",
                caller.key === "" || caller.keyHash === hashKey(caller.key),
            );
            return await this.#route(exchange);
        }
        finally {
            active.remove(entry);
        }
    }

    async #route(exchange: Exchange): Promise<Refusal | undefined> {
        const { models, serviceHandler } = this.options;
        const path = withoutQuery(exchange.path);
        const endpoint = MODEL_ENDPOINTS[path];
        if (endpoint) {
            return exchange.request.method === "POST"
                ? await models.handle(exchange, endpoint)
                : new Refusal(405, "malformed-request", "not-run", "Use POST");
        }
        if (path === "/v1/models") {
            listModels(exchange.response, this.options.configuration.document);
            return undefined;
        }
        const match = serviceHandler.findRoute(path);
        return match
            ? await serviceHandler.handle(exchange, match.name, match.route)
            : new Refusal(404, "route-unknown", "not-run", "No route has this path");
    }
}
