import { type BackendResponse, readResponseBody } from "../backends/mod.ts";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import { filterRawHeaders } from "../headers/mod.ts";
import type { Verdict } from "../verdicts/mod.ts";
import { backendHeaders } from "./backend_headers.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRefusal } from "./gateway_refusal.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import { sendRefusal } from "./send_refusal.ts";
import { ServerChooser } from "./server_chooser.ts";
import { SlowServerWatch } from "./slow_server_watch.ts";

/** Largest number of sends of one request, including those that a server refused. */
const MAXIMUM_SENDS = 4;
/** Largest body in bytes of a response. */
const MAXIMUM_RESPONSE_BYTES = 8 * 1_024 * 1_024;
/** Time in milliseconds that a server is avoided after it refused a request. */
const REFUSED_AVOID_MILLISECONDS = 50;
/** Time in milliseconds that a server is avoided after it could not be reached. */
const UNREACHABLE_AVOID_MILLISECONDS = 1_000;
const NO_HEADERS: ReadonlySet<string> = new Set();

/** How one send ended. */
type SendOutcome =
    | { kind: "answered"; response: BackendResponse; body: Buffer; }
    | {
        kind: "not-run" | "may-have-run";
        message: string;
        /** Whether the deadline of the request has passed. */
        isOutOfTime?: boolean;
        /** The server for which the send was given up, with a retry spent. */
        successor?: RegisteredServer | undefined;
    };

/**
 * Forwards requests to plain services.
 *
 * @example
 * ```ts
 * await new PlainForwarder(context).forward(request);
 * ```
 */
export class PlainForwarder {
    readonly #chooser: ServerChooser;

    /**
     * @param context Shared objects of the gateway.
     */
    constructor(private readonly context: GatewayContext) {
        this.#chooser = new ServerChooser(context);
    }

    /**
     * Forwards a request and sends the response to its caller.
     *
     * @param request The request.
     * @returns Whether the request may have run; resolves once the response was sent.
     */
    async forward(request: GatewayRequest): Promise<Verdict> {
        const tried = new Set<string>();
        let runs = 0;
        let errorResponse: { response: BackendResponse; body: Buffer; } | undefined;
        let refusal: GatewayRefusal | undefined;
        let successor: RegisteredServer | undefined;
        for (let sends = 0; sends < MAXIMUM_SENDS && !request.signal.aborted; sends++) {
            const server = successor ?? this.#chooser.choose(request.service.name, tried);
            if (!server || runs >= request.route.maximumServers || !this.#canUseKey(request)) {
                break;
            }
            if (sends > 0 && !successor && !this.context.retryBudget.trySpend(request.service.name)) {
                refusal ??= { ...noServerRefusal(), reason: "retry-budget-spent" };
                break;
            }
            tried.add(server.id);
            const mayRepeat = request.route.kind === "idempotent" && runs + 1 < request.route.maximumServers
                && sends + 1 < MAXIMUM_SENDS;
            const findSuccessor = mayRepeat ? () => this.#findSuccessor(request, tried) : undefined;
            const outcome = await this.#send(request, server, findSuccessor);
            successor = outcome.kind === "answered" ? undefined : outcome.successor;
            this.context.logger.info("request sent to a server", {
                request: request.id,
                server: server.id,
                send: sends + 1,
                outcome: outcome.kind === "answered" ? outcome.response.status : outcome.kind,
                cause: outcome.kind === "answered" ? undefined : outcome.message,
                afterMilliseconds: Math.round(monotonicMilliseconds() - request.receivedAt),
                ...this.context.directoryUpdater.logFields(),
            });
            if (outcome.kind === "answered") {
                if (outcome.response.status < 500 || request.route.kind !== "idempotent") {
                    this.#relay(request, outcome.response, outcome.body);
                    return "may-have-run";
                }
                errorResponse = outcome;
                runs++;
                continue;
            }
            if (outcome.kind === "may-have-run") {
                runs++;
                refusal = outcome.isOutOfTime
                    ? outOfTimeRefusal()
                    : { status: 502, reason: "backend-failed", verdict: "may-have-run", message: outcome.message };
                if (outcome.isOutOfTime || request.route.kind !== "idempotent") {
                    break;
                }
            }
            else {
                refusal ??= { ...noServerRefusal(), message: outcome.message };
            }
        }
        if (errorResponse) {
            this.#relay(request, errorResponse.response, errorResponse.body);
            return "may-have-run";
        }
        const final = this.#finalRefusal(request, refusal);
        sendRefusal(request, final, this.context);
        return final.verdict;
    }

    #canUseKey(request: GatewayRequest): boolean {
        return request.key === undefined || this.context.directoryUpdater.canAcceptKey(request.key);
    }

    /** Chooses another server for a request whose server is slow, and spends a retry. */
    #findSuccessor(request: GatewayRequest, tried: ReadonlySet<string>): RegisteredServer | undefined {
        const service = request.service.name;
        const server = this.#canUseKey(request) ? this.#chooser.choose(service, tried) : undefined;
        return server && this.context.retryBudget.trySpend(service) ? server : undefined;
    }

    #finalRefusal(request: GatewayRequest, refusal: GatewayRefusal | undefined): GatewayRefusal {
        if (request.signal.aborted && refusal?.verdict !== "not-run") {
            return outOfTimeRefusal();
        }
        const { availability } = this.context;
        return refusal?.verdict === "may-have-run"
            ? refusal
            : availability.findRefusal(request.service.name) ?? refusal ?? noServerRefusal();
    }

    async #send(
        request: GatewayRequest,
        server: RegisteredServer,
        findSuccessor: (() => RegisteredServer | undefined) | undefined,
    ): Promise<SendOutcome> {
        const { headers, serverClient, serverLoads, directory } = this.context;
        const load = serverLoads.get(server.id);
        const startedAt = monotonicMilliseconds();
        const remaining = request.deadline - startedAt;
        const watch = findSuccessor && new SlowServerWatch(request, remaining, load, findSuccessor);
        const recordFailure = () => {
            if (!watch?.isSlow) {
                load.recordFailure();
            }
        };
        load.active++;
        load.recordSend();
        try {
            const response = await serverClient.send(server, {
                method: request.method,
                path: request.path,
                headers: backendHeaders(request, server, headers),
                body: request.body.length > 0 ? request.body : undefined,
                timeoutMilliseconds: remaining,
                signal: watch?.signal ?? request.signal,
                correlation: { header: headers.requestId, value: request.id },
            });
            watch?.recordAnswer();
            if (response.isErr()) {
                if (watch?.successor) {
                    const fault = { ...response.error, kind: "timeout", message: "No answer in time" };
                    return { ...this.#recordFault(load, fault, recordFailure), successor: watch.successor };
                }
                if (response.error.kind === "reset") {
                    this.context.crashRegistry.recordBrokenConnection(request, server);
                }
                if (response.error.kind === "unreachable") {
                    this.context.crashRegistry.recordServerEnd(server.id);
                }
                const outcome = this.#recordFault(load, response.error, recordFailure);
                return { ...outcome, isOutOfTime: response.error.kind === "timeout" };
            }
            const { status } = response.value;
            const coldMilliseconds = Number(response.value.headers[headers.coldMilliseconds] ?? 0);
            if (coldMilliseconds > 0) {
                directory.markCold(server.id, coldMilliseconds);
            }
            const body = await readResponseBody(
                response.value,
                Math.max(1, request.deadline - monotonicMilliseconds()),
                MAXIMUM_RESPONSE_BYTES,
            );
            if (status === 421 || response.value.headers[headers.notRun] !== undefined) {
                if (status === 421) {
                    serverLoads.markTerminated(server.id);
                    this.context.crashRegistry.recordServerEnd(server.id);
                }
                else {
                    serverLoads.avoid(server.id, REFUSED_AVOID_MILLISECONDS);
                }
                return { kind: "not-run", message: `The server answered with status ${status}` };
            }
            if (!body) {
                recordFailure();
                return { kind: "may-have-run", message: "The server's answer broke off" };
            }
            if (status < 300 && !isSignedUnencoded(response.value, headers.signature)) {
                recordFailure();
                return { kind: "may-have-run", message: "The server's answer is not signed or is encoded" };
            }
            if (status >= 500) {
                recordFailure();
            }
            else {
                if (!watch?.isSlow) {
                    load.recordSuccess();
                }
                load.recordResponseTime(monotonicMilliseconds() - startedAt);
            }
            return { kind: "answered", response: response.value, body };
        }
        finally {
            watch?.close();
            load.active--;
        }
    }

    #recordFault(
        load: { avoidedUntil: number; },
        fault: { kind: string; verdict: "not-run" | "may-have-run"; message: string; },
        recordFailure: () => void,
    ): { kind: "not-run" | "may-have-run"; message: string; } {
        this.context.metrics.increment("backend_faults_total", { kind: fault.kind, verdict: fault.verdict });
        if (fault.kind !== "aborted") {
            recordFailure();
        }
        if (fault.kind === "unreachable") {
            load.avoidedUntil = monotonicMilliseconds() + UNREACHABLE_AVOID_MILLISECONDS;
        }
        return { kind: fault.verdict, message: fault.message };
    }

    #relay(request: GatewayRequest, response: BackendResponse, body: Buffer): void {
        const headers = filterRawHeaders(response.rawHeaders, NO_HEADERS);
        headers.push("Content-Length", String(body.length));
        this.context.metrics.observe("plain_answer", monotonicMilliseconds() - request.receivedAt);
        this.context.metrics.increment("answers_relayed_total", { status: String(response.status) });
        if (!request.response.destroyed) {
            request.response.writeHead(response.status, headers);
            request.response.end(body);
        }
    }
}

function isSignedUnencoded(response: BackendResponse, signature: string): boolean {
    return response.headers[signature] !== undefined && response.headers["content-encoding"] === undefined;
}

function outOfTimeRefusal(): GatewayRefusal {
    return { status: 504, reason: "deadline-passed", verdict: "may-have-run", message: "No answer in time" };
}

function noServerRefusal(): GatewayRefusal {
    return {
        status: 503,
        reason: "no-backend-server",
        verdict: "not-run",
        message: "No backend server can take the request now",
        retryAfterMilliseconds: 300,
    };
}
