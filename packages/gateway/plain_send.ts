import { type BackendResponse, hasStrayBytes, readResponsePieces } from "../backends/mod.ts";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import { logFailure } from "../logs/mod.ts";
import { backendHeaders } from "./backend_headers.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { SendOutcome } from "./send_outcome.ts";
import { SlowServerWatch } from "./slow_server_watch.ts";
import { watchAnswerEnd } from "./watch_answer_end.ts";

/** Largest body in bytes of a response. */
const MAXIMUM_RESPONSE_BYTES = 8 * 1_024 * 1_024;
/** Time in milliseconds that a server is avoided after it refused a request. */
const REFUSED_AVOID_MILLISECONDS = 50;
/** Time in milliseconds that a server is avoided after it could not be reached. */
const UNREACHABLE_AVOID_MILLISECONDS = 1_000;

/**
 * Sends requests to servers of plain services, one send at a time, and records how they end.
 *
 * @example
 * ```ts
 * const outcome = await new PlainSend(context).run(request, server);
 * ```
 */
export class PlainSend {
    /**
     * @param context Shared objects of the gateway.
     */
    constructor(private readonly context: GatewayContext) {}

    /**
     * Sends a request to a server and reads its answer.
     *
     * @param request The request.
     * @param server The server.
     * @param findSuccessor Called if the server is slow: resolves to another server once that one has answered, which ends
     *     this send, or to undefined. Default: this send ends only with its request.
     * @returns How the send ended.
     */
    async run(
        request: GatewayRequest,
        server: RegisteredServer,
        findSuccessor?: () => Promise<RegisteredServer | undefined>,
    ): Promise<SendOutcome> {
        const { headers, rollouts, serverClient, serverLoads, directory } = this.context;
        const route = request.route.name;
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
        rollouts.count(server, route);
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
                    rollouts.record(server, route, undefined);
                    const fault = { ...response.error, kind: "timeout", message: "No answer in time" };
                    return this.#recordFault(load, fault, recordFailure);
                }
                rollouts.recordFault(server, route, response.error);
                if (response.error.kind === "reset") {
                    this.context.crashRegistry.recordBrokenConnection(request, server);
                }
                if (response.error.kind === "unreachable") {
                    this.context.crashRegistry.recordUnreachable(server)
                        .catch(logFailure(this.context.logger, "end of a server not recorded", { server: server.id }));
                }
                const outcome = this.#recordFault(load, response.error, recordFailure);
                return { ...outcome, isOutOfTime: response.error.kind === "timeout" };
            }
            const { status } = response.value;
            const coldMilliseconds = Number(response.value.headers[headers.coldMilliseconds] ?? 0);
            if (coldMilliseconds > 0) {
                directory.markCold(server.id, coldMilliseconds);
            }
            const findEndState = watchAnswerEnd(
                response.value,
                () => this.context.answerEndCheck.confirm(server, request.service, request.signal),
            );
            const body = await readResponsePieces(
                response.value,
                Math.max(1, request.deadline - monotonicMilliseconds()),
                MAXIMUM_RESPONSE_BYTES,
                request.memory,
            );
            const responseTime = monotonicMilliseconds() - startedAt - response.value.endWaitMilliseconds;
            if (status === 421 || response.value.headers[headers.notRun] !== undefined) {
                if (status === 421) {
                    serverLoads.markTerminated(server.id, server.startedAt);
                    this.context.crashRegistry.recordServerEnd(server.id, server.startedAt);
                }
                else {
                    serverLoads.avoid(server.id, REFUSED_AVOID_MILLISECONDS);
                }
                return { kind: "not-run", message: `The server answered with status ${status}` };
            }
            const endState = body && await findEndState();
            if (body && endState !== "running") {
                rollouts.record(server, route, undefined);
                recordFailure();
                return {
                    kind: "may-have-run",
                    message: `The answer ended with its connection, its server is ${endState}`,
                };
            }
            const isValid = body && (status >= 300 || isSignedUnencoded(response.value, headers.signature));
            rollouts.recordAnswer(server, route, status, isValid ? responseTime : undefined);
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
                load.recordResponseTime(responseTime);
            }
            return { kind: "answered", response: response.value, body, isDoubtful: hasStrayBytes(response.value) };
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
}

function isSignedUnencoded(response: BackendResponse, signature: string): boolean {
    return response.headers[signature] !== undefined && response.headers["content-encoding"] === undefined;
}
