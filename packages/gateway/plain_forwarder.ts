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

/** Sends of one request at most, those that a server refused included. */
const MAXIMUM_SENDS = 4;
/** Longest body in bytes of a plain answer. */
const MAXIMUM_ANSWER_BYTES = 8 * 1_024 * 1_024;
/** Part of the remaining time that the first server of an idempotent request may take. */
const FIRST_TRY_SHARE = 0.45;
/** Time in milliseconds that a server is avoided after it refused a request. */
const FULL_MILLISECONDS = 50;
/** Time in milliseconds that a server is avoided after it could not be reached. */
const AVOID_MILLISECONDS = 1_000;
const NONE: ReadonlySet<string> = new Set();

/** How one send ended. */
type SendOutcome =
    | { kind: "answered"; answer: BackendResponse; body: Buffer; }
    | { kind: "not-run" | "may-have-run"; message: string; };

/**
 * Forwards requests of plain services.
 *
 * @example
 * ```ts
 * await new PlainForwarder(services).forward(request);
 * ```
 */
export class PlainForwarder {
    readonly #chooser: ServerChooser;

    /**
     * @param services What the gateway works with.
     */
    constructor(private readonly services: GatewayContext) {
        this.#chooser = new ServerChooser(services);
    }

    /**
     * Forwards a request and answers its caller.
     *
     * @param request The request.
     * @returns Whether the request may have run, once the answer is given.
     */
    async forward(request: GatewayRequest): Promise<Verdict> {
        const tried = new Set<string>();
        let runs = 0;
        let failed: { answer: BackendResponse; body: Buffer; } | undefined;
        let refusal: GatewayRefusal | undefined;
        for (let sends = 0; sends < MAXIMUM_SENDS && !request.signal.aborted; sends++) {
            const server = this.#chooser.choose(request.service.name, tried);
            if (!server || runs >= request.route.maximumServers || !this.#mayUseKey(request)) {
                break;
            }
            if (sends > 0 && !this.services.retries.trySpend(request.service.name)) {
                refusal ??= { ...noServer(), reason: "retry-budget-spent" };
                break;
            }
            tried.add(server.id);
            const outcome = await this.#send(request, server, runs + 1 < request.route.maximumServers);
            this.services.logger.info("request sent to a server", {
                request: request.id,
                server: server.id,
                send: sends + 1,
                outcome: outcome.kind === "answered" ? outcome.answer.status : outcome.kind,
                cause: outcome.kind === "answered" ? undefined : outcome.message,
                afterMilliseconds: Math.round(monotonicMilliseconds() - request.receivedAt),
                ...this.services.directoryUpdater.logFields(),
            });
            if (outcome.kind === "answered") {
                if (outcome.answer.status < 500 || request.route.kind !== "idempotent") {
                    this.#relay(request, outcome.answer, outcome.body);
                    return "may-have-run";
                }
                failed = outcome;
                runs++;
                continue;
            }
            if (outcome.kind === "may-have-run") {
                runs++;
                refusal = { status: 502, reason: "backend-failed", verdict: "may-have-run", message: outcome.message };
                if (request.route.kind !== "idempotent") {
                    break;
                }
            }
            else {
                refusal ??= { ...noServer(), message: outcome.message };
            }
        }
        if (failed) {
            this.#relay(request, failed.answer, failed.body);
            return "may-have-run";
        }
        const final = this.#final(request, refusal);
        sendRefusal(request, final, this.services);
        return final.verdict;
    }

    #mayUseKey(request: GatewayRequest): boolean {
        return request.key === undefined || this.services.directoryUpdater.canAcceptKey(request.key);
    }

    #final(request: GatewayRequest, refusal: GatewayRefusal | undefined): GatewayRefusal {
        if (request.signal.aborted && refusal?.verdict !== "not-run") {
            return { status: 504, reason: "deadline-passed", verdict: "may-have-run", message: "No answer in time" };
        }
        return refusal ?? noServer();
    }

    async #send(request: GatewayRequest, server: RegisteredServer, another: boolean): Promise<SendOutcome> {
        const { headers, connections, serverLoads: book, directory } = this.services;
        const load = book.get(server.id);
        const startedAt = monotonicMilliseconds();
        const remaining = request.deadline - startedAt;
        load.active++;
        load.recordSend();
        try {
            const answer = await connections.send({
                address: server.address,
                method: request.method,
                path: request.path,
                headers: backendHeaders(request, server, headers),
                body: request.body.length > 0 ? request.body : undefined,
                timeoutMilliseconds: another && request.route.kind === "idempotent"
                    ? remaining * FIRST_TRY_SHARE
                    : remaining,
                signal: request.signal,
                correlation: { header: headers.requestId, value: request.id },
            });
            if (answer.isErr()) {
                if (answer.error.kind === "reset") {
                    this.services.crashes.suspect(request, server.id);
                }
                if (answer.error.kind === "unreachable") {
                    this.services.crashes.recordServerEnd(server.id);
                }
                return this.#noteFault(load, answer.error);
            }
            const { status } = answer.value;
            const coldFor = Number(answer.value.headers[headers.coldMilliseconds] ?? 0);
            if (coldFor > 0) {
                directory.markCold(server.id, coldFor);
            }
            const body = await readResponseBody(
                answer.value,
                Math.max(1, request.deadline - monotonicMilliseconds()),
                MAXIMUM_ANSWER_BYTES,
            );
            if (status === 421 || answer.value.headers[headers.notRun] !== undefined) {
                if (status === 421) {
                    book.markGone(server.id);
                    this.services.crashes.recordServerEnd(server.id);
                }
                else {
                    book.avoid(server.id, FULL_MILLISECONDS);
                }
                return { kind: "not-run", message: `The server answered with status ${status}` };
            }
            if (!body) {
                load.recordFailure();
                return { kind: "may-have-run", message: "The server's answer broke off" };
            }
            if (status < 300 && !isGenuine(answer.value, headers.signature)) {
                load.recordFailure();
                return { kind: "may-have-run", message: "The server's answer is not signed or is encoded" };
            }
            if (status >= 500) {
                load.recordFailure();
            }
            else {
                load.recordSuccess();
                load.recordResponseTime(monotonicMilliseconds() - startedAt);
            }
            return { kind: "answered", answer: answer.value, body };
        }
        finally {
            load.active--;
        }
    }

    #noteFault(
        load: { avoidedUntil: number; recordFailure(): void; },
        fault: { kind: string; verdict: "not-run" | "may-have-run"; message: string; },
    ): SendOutcome {
        this.services.metrics.increment("backend_faults_total", { kind: fault.kind, verdict: fault.verdict });
        if (fault.kind !== "aborted") {
            load.recordFailure();
        }
        if (fault.kind === "unreachable") {
            load.avoidedUntil = monotonicMilliseconds() + AVOID_MILLISECONDS;
        }
        return { kind: fault.verdict, message: fault.message };
    }

    #relay(request: GatewayRequest, answer: BackendResponse, body: Buffer): void {
        const headers = filterRawHeaders(answer.rawHeaders, NONE);
        headers.push("Content-Length", String(body.length));
        this.services.metrics.observe("plain_answer", monotonicMilliseconds() - request.receivedAt);
        this.services.metrics.increment("answers_relayed_total", { status: String(answer.status) });
        if (!request.response.destroyed) {
            request.response.writeHead(answer.status, headers);
            request.response.end(body);
        }
    }
}

function isGenuine(answer: BackendResponse, signature: string): boolean {
    return answer.headers[signature] !== undefined && answer.headers["content-encoding"] === undefined;
}

function noServer(): GatewayRefusal {
    return {
        status: 503,
        reason: "no-backend-server",
        verdict: "not-run",
        message: "No backend server can take the request now",
        retryAfterMilliseconds: 300,
    };
}
