import type { BackendResponse } from "../backends/mod.ts";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import { filterRawHeaders } from "../headers/mod.ts";
import { logFailure } from "../logs/mod.ts";
import { givenUpRefusal } from "./_given_up_refusal.ts";
import { MEMORY_REFUSAL } from "./_memory_refusal.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRefusal } from "./gateway_refusal.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import { PlainSend } from "./plain_send.ts";
import { refuseKey } from "./refuse_key.ts";
import type { SendOutcome } from "./send_outcome.ts";
import { ServerChooser } from "./server_chooser.ts";

/** Largest number of sends of one request, including those that a server refused. */
const MAXIMUM_SENDS = 4;
const NO_HEADERS: ReadonlySet<string> = new Set();

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
    readonly #plainSend: PlainSend;

    /**
     * @param context Shared objects of the gateway.
     */
    constructor(private readonly context: GatewayContext) {
        this.#chooser = new ServerChooser(context);
        this.#plainSend = new PlainSend(context);
    }

    /**
     * Forwards a request and sends a server's response to its caller.
     *
     * @param request The request.
     * @returns The refusal that its caller is to get; undefined if it has got a response.
     */
    async forward(request: GatewayRequest): Promise<GatewayRefusal | undefined> {
        const { answers } = request.memory;
        if (!await answers.expect(request.signal)) {
            return request.signal.reason === "shutting-down" ? givenUpRefusal(request.signal) : MEMORY_REFUSAL;
        }
        try {
            return await this.#sendAndRelay(request);
        }
        finally {
            answers.endSends();
        }
    }

    async #sendAndRelay(request: GatewayRequest): Promise<GatewayRefusal | undefined> {
        const tried = new Set<string>();
        let runs = 0;
        let sends = 0;
        let fallback: Extract<SendOutcome, { kind: "answered"; }> | undefined;
        let refusal: GatewayRefusal | undefined;
        let keyRefusal: GatewayRefusal | undefined;
        while (sends < MAXIMUM_SENDS && !request.signal.aborted) {
            keyRefusal = refuseKey(request.key, this.context);
            const server = this.#chooser.choose(request.service.name, request.route.name, tried);
            if (!server || runs >= request.route.maximumServers || keyRefusal) {
                break;
            }
            if (sends > 0 && !this.context.retryBudget.trySpend(request.service.name)) {
                refusal ??= { ...noServerRefusal(), reason: "retry-budget-spent" };
                break;
            }
            const mayRepeat = request.route.kind === "idempotent" && runs + 1 < request.route.maximumServers
                && sends + 1 < MAXIMUM_SENDS;
            request.exchange.isCommitted = request.route.kind !== "idempotent";
            const ended = await this.#send(request, server, tried, mayRepeat);
            for (const { server: { id }, outcome } of ended) {
                this.#log(request, id, ++sends, outcome);
            }
            for (const { outcome } of ended) {
                if (outcome.kind === "answered") {
                    if (isUsable(outcome) || request.route.kind !== "idempotent") {
                        this.#relay(request, outcome.response, outcome.body);
                        return undefined;
                    }
                    fallback = fallback?.isDoubtful ? fallback : outcome;
                    runs++;
                    request.exchange.runs++;
                }
                else if (outcome.kind === "may-have-run") {
                    runs++;
                    request.exchange.runs++;
                    refusal = outcome.isOutOfTime
                        ? outOfTimeRefusal()
                        : { status: 502, reason: "backend-failed", verdict: "may-have-run", message: outcome.message };
                }
                else {
                    request.exchange.isCommitted = false;
                    refusal ??= { ...noServerRefusal(), message: outcome.message };
                }
            }
            const isOutOfTime = ended.some(({ outcome }) => outcome.kind === "may-have-run" && outcome.isOutOfTime);
            if (isOutOfTime || (runs > 0 && request.route.kind !== "idempotent")) {
                break;
            }
        }
        if (fallback) {
            this.#relay(request, fallback.response, fallback.body);
            return undefined;
        }
        // An earlier send may have run, which its refusal says.
        return runs === 0 && keyRefusal ? keyRefusal : this.#finalRefusal(request, refusal);
    }

    /**
     * Sends a request to a server and, if that one is slow, to another one too. Only an answer of the other one ends the
     * first send, since the first server may be sound and the other one may refuse.
     *
     * @returns How the sends ended, the first one first.
     */
    async #send(
        request: GatewayRequest,
        server: RegisteredServer,
        tried: Set<string>,
        mayRepeat: boolean,
    ): Promise<{ server: RegisteredServer; outcome: SendOutcome; }[]> {
        tried.add(server.id);
        const firstAnswered = new AbortController();
        const others: { server: RegisteredServer; outcome: Promise<SendOutcome>; }[] = [];
        const findSuccessor = async () => {
            const other = this.#chooseOther(request, tried);
            if (!other) {
                return undefined;
            }
            tried.add(other.id);
            const signal = AbortSignal.any([request.signal, firstAnswered.signal]);
            const outcome = this.#plainSend.run({ ...request, signal }, other);
            others.push({ server: other, outcome });
            // An error inside the router is reported with the other outcomes below.
            return await outcome.then(isUsable, () => false) ? other : undefined;
        };
        const logError = logFailure(this.context.logger, "search for another server failed", { request: request.id });
        const findOrLog = () =>
            findSuccessor().catch((error: unknown) => {
                logError(error);
                return undefined;
            });
        const outcome = await this.#plainSend.run(request, server, mayRepeat ? findOrLog : undefined);
        if (isUsable(outcome)) {
            firstAnswered.abort();
        }
        const ended = others.map(async other => ({ server: other.server, outcome: await other.outcome }));
        return [{ server, outcome }, ...await Promise.all(ended)];
    }

    #log(request: GatewayRequest, server: string, send: number, outcome: SendOutcome): void {
        this.context.logger.info("request sent to a server", {
            request: request.id,
            server,
            send,
            outcome: outcome.kind === "answered" ? outcome.response.status : outcome.kind,
            cause: outcome.kind === "answered" ? undefined : outcome.message,
            framing: outcome.kind === "answered" ? outcome.response.framing : undefined,
            answerBytes: outcome.kind === "answered" ? lengthOf(outcome.body) : undefined,
            afterMilliseconds: Math.round(monotonicMilliseconds() - request.receivedAt),
            ...this.context.directoryUpdater.logFields(),
        });
    }

    /** Chooses another server for a request whose server is slow, and spends a retry. */
    #chooseOther(request: GatewayRequest, tried: ReadonlySet<string>): RegisteredServer | undefined {
        const service = request.service.name;
        const server = refuseKey(request.key, this.context)
            ? undefined
            : this.#chooser.choose(service, request.route.name, tried);
        const maySend = server && request.memory.answers.tryExpect() && this.context.retryBudget.trySpend(service);
        return maySend ? server : undefined;
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

    #relay(request: GatewayRequest, response: BackendResponse, body: readonly Buffer[]): void {
        const headers = filterRawHeaders(response.rawHeaders, NO_HEADERS);
        headers.push("Content-Length", String(lengthOf(body)));
        this.context.metrics.observe("plain_answer", monotonicMilliseconds() - request.receivedAt);
        this.context.metrics.increment("answers_relayed_total", { status: String(response.status) });
        if (!request.response.destroyed) {
            request.response.writeHead(response.status, headers);
            request.response.cork();
            body.forEach(piece => request.response.write(piece));
            request.response.end();
        }
    }
}

/** Whether an answer is relayed without another send. */
function isUsable(outcome: SendOutcome): boolean {
    return outcome.kind === "answered" && outcome.response.status < 500 && !outcome.isDoubtful;
}

/** Returns the length of a body in bytes. */
function lengthOf(body: readonly Buffer[]): number {
    return body.reduce((sum, { length }) => sum + length, 0);
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
