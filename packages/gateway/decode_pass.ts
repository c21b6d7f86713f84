import { type BackendResponse, readResponseBody } from "../backends/mod.ts";
import { monotonicMilliseconds, within } from "../clocks/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import { filterRawHeaders } from "../headers/mod.ts";
import { logFailure } from "../logs/mod.ts";
import { ReferencePace } from "../speeds/mod.ts";
import { withoutHeaders } from "./_without_headers.ts";
import { backendHeaders } from "./backend_headers.ts";
import type { DecodeReservation } from "./decode_reservation.ts";
import { engineIdleTimeout } from "./engine_idle_timeout.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { PassOutcome } from "./pass_outcome.ts";
import type { PassProgress } from "./pass_progress.ts";
import { relayEvents } from "./relay_events.ts";
import { RunPace } from "./run_pace.ts";
import { SilenceWatch } from "./silence_watch.ts";
import { watchAnswerEnd } from "./watch_answer_end.ts";

/** Time in milliseconds that an engine is avoided after it did not answer. */
const AVOID_MILLISECONDS = 800;
/** Speed in prompt tokens per millisecond below which a decode engine that computes a prompt itself counts as failed. */
const SLOWEST_LOCAL_TOKENS_PER_MILLISECOND = 5;
/** Time in milliseconds allowed for the body of an error response that is not relayed. */
const ERROR_BODY_MILLISECONDS = 2_500;
const MAXIMUM_RESPONSE_BYTES = 1_024 * 1_024;
/** Longest time in milliseconds for which the events of a stream that goes on wait until their process is identified. */
const IDENTIFY_MILLISECONDS = 1_000;
const NO_HEADERS: ReadonlySet<string> = new Set();

/** Called for each event, with the version of the process that writes it, once that is identified. */
type OnEvent = (identified: Promise<string | undefined> | undefined) => void;

/** A run of a request at the decode engine that holds its reservation. */
interface DecodeRun {
    request: GatewayRequest;
    reservation: DecodeReservation;
    /** Alternating names and values. */
    extraHeaders: string[];
    progress: PassProgress;
    /** Prompt tokens that the decode engine computes itself. */
    localPrefillTokens: number;
    /** Finds another engine that the stream can go on at; undefined if it must end where it runs. */
    findSuccessor: ((isStillSilent: () => boolean) => Promise<boolean>) | undefined;
}

/**
 * Runs requests at decode engines: sends a request to the engine that holds its reservation and relays the answer.
 *
 * @example
 * ```ts
 * const outcome = await new DecodePass(context).run(run, () => {});
 * ```
 */
export class DecodePass {
    readonly #reference = new ReferencePace();

    /**
     * @param context Shared objects of the gateway.
     */
    constructor(private readonly context: GatewayContext) {}

    /**
     * Sends a request to its decode engine and relays the answer.
     *
     * @param run The run.
     * @param onFirstEvent Called for each event; the first one shows that the prompt has been computed. Gets the version of the
     * process that writes them, once it is identified.
     * @returns How the run ended.
     */
    async run(run: DecodeRun, onFirstEvent: OnEvent): Promise<PassOutcome> {
        const watch = this.#watch(run);
        const pace = this.#measure(run);
        const onEvent: OnEvent = identified => {
            pace.recordEvent();
            this.context.reachability.recordAnswer(run.reservation.server.id);
            onFirstEvent(identified);
        };
        try {
            const outcome = await this.#send(run, watch, onEvent);
            pace.recordOutcome(outcome);
            if (outcome.kind === "broken" && !outcome.isGivenUp && !run.request.signal.aborted) {
                this.context.reachability.recordFault(run.reservation.server.id, "reset");
            }
            if (outcome.kind === "completed") {
                const { request: { promptSections, service }, reservation: { server } } = run;
                this.context.promptMemory?.recordKept(server, promptSections, service.engine?.memoryTokens ?? 0);
            }
            return outcome;
        }
        finally {
            watch.close();
        }
    }

    #measure({ request, reservation, progress, localPrefillTokens }: DecodeRun): RunPace {
        const { engineSpeeds, serverLoads } = this.context;
        const isWhole = localPrefillTokens === 0 && progress.lastEventId === undefined;
        const { active } = serverLoads.get(reservation.server.id).total();
        return new RunPace({ request, reservation, active, isWhole, engineSpeeds, reference: this.#reference });
    }

    /** Watches for silence, which counts as one failure of the engine even where the run goes on. */
    #watch({ request, reservation, localPrefillTokens, findSuccessor }: DecodeRun): SilenceWatch {
        const load = this.context.serverLoads.get(reservation.server.id);
        const idleTimeout = engineIdleTimeout(request, findSuccessor !== undefined);
        let recorded = false;
        const onError = logFailure(this.context.logger, "search for another engine failed", { request: request.id });
        const onSilence = async (isStillSilent: () => boolean) => {
            const found = await findSuccessor?.(isStillSilent).catch(onError) ?? false;
            if (!found) {
                // A stream that falls silent may be all that shows a lost link.
                this.context.reachability.recordFault(reservation.server.id, "timeout");
            }
            if (!found && !recorded) {
                recorded = true;
                load.recordFailure();
                this.context.metrics.increment("silent_runs_total");
            }
            return found;
        };
        return new SilenceWatch(
            idleTimeout,
            request.signal,
            onSilence,
            idleTimeout + localPrefillTokens / SLOWEST_LOCAL_TOKENS_PER_MILLISECOND,
        );
    }

    async #send(run: DecodeRun, watch: SilenceWatch, onFirstEvent: OnEvent): Promise<PassOutcome> {
        const { request, reservation, extraHeaders, progress } = run;
        const { headers, serverClient, serverLoads, metrics } = this.context;
        const { server } = reservation;
        const load = serverLoads.get(server.id);
        load.recordSend();
        reservation.releasePlace();
        const response = await serverClient.send(server, {
            method: request.method,
            path: request.path,
            headers: [...withoutHeaders(backendHeaders(request, server, headers), extraHeaders), ...extraHeaders],
            body: request.body.length > 0 ? request.body : undefined,
            timeoutMilliseconds: request.deadline - monotonicMilliseconds(),
            signal: watch.signal,
            correlation: { header: headers.requestId, value: request.id },
        });
        if (response.isErr()) {
            metrics.increment("decodes_total", { result: watch.isGivenUp ? "silent" : response.error.kind });
            if (response.error.verdict === "not-run") {
                load.recordFailure();
            }
            if (response.error.kind !== "aborted" || watch.isGivenUp) {
                load.avoidedUntil = monotonicMilliseconds() + AVOID_MILLISECONDS;
            }
            const message = watch.isGivenUp ? "The engine did not begin its answer" : response.error.message;
            return response.error.verdict === "not-run"
                ? { kind: "not-run", message }
                : { kind: "may-have-run", message, isGivenUp: watch.isGivenUp };
        }
        watch.touch();
        const { status } = response.value;
        metrics.increment("decodes_total", { result: String(status) });
        if (status !== 200) {
            watch.close();
        }
        if (status === 421 || response.value.headers[headers.notRun] !== undefined) {
            await readResponseBody(response.value, ERROR_BODY_MILLISECONDS, MAXIMUM_RESPONSE_BYTES);
            if (status === 421) {
                serverLoads.markTerminated(server.id, server.startedAt);
                this.context.crashRegistry.recordServerEnd(server.id, server.startedAt);
                return { kind: "moved", message: "Another server answers at the engine's address" };
            }
            const kind = this.context.availability.isUsable(server) ? "not-run" : "withheld";
            return { kind, message: `The decode engine answered with status ${status}` };
        }
        if (status !== 200) {
            return await this.#relayErrorResponse(request, server, response.value);
        }
        const signedUnencoded = response.value.headers[headers.signature] !== undefined
            && response.value.headers["content-encoding"] === undefined;
        if (!signedUnencoded) {
            response.value.close();
            return { kind: "may-have-run", message: "The engine's answer is not signed or is encoded" };
        }
        const { connection, body } = response.value;
        const { engineProcesses, streamVersions } = this.context;
        const stream = { server, connection, isRunning: () => !body.destroyed };
        const identified = request.route.resumable ? engineProcesses.identify(stream, streamVersions) : undefined;
        const { softwareVersion } = progress;
        const onEvent = () => onFirstEvent(identified);
        const isAdmitted = identified && (softwareVersion === undefined
            ? engineProcesses.admit(stream, streamVersions)
            : this.#isOfVersion(run, softwareVersion, identified));
        return await relayEvents(
            { request, reservation, progress, watch, onEvent, isAdmitted },
            response.value,
            this.context,
        );
    }

    /** Waits, for a limited time, until the process that answers is known to be of a version, or that there is no other one. */
    async #isOfVersion(
        { request, reservation }: DecodeRun,
        version: string,
        identified: Promise<string | undefined>,
    ): Promise<boolean> {
        const { engineProcesses, streamVersions } = this.context;
        const identifiedVersion = await within(identified, IDENTIFY_MILLISECONDS);
        return identifiedVersion === undefined && !engineProcesses.isOutdated(reservation.server)
            ? await streamVersions.findOnlyVersion(request.service.name) === version
            : identifiedVersion === version;
    }

    async #relayErrorResponse(
        request: GatewayRequest,
        server: RegisteredServer,
        backendResponse: BackendResponse,
    ): Promise<PassOutcome> {
        const { response, route, signal, deadline } = request;
        const close = () => backendResponse.close();
        const findEndState = watchAnswerEnd(
            backendResponse,
            () => this.context.answerEndCheck.confirm(server, request.service, signal),
        );
        signal.addEventListener("abort", close, { once: true });
        // An error that is relayed may come until the deadline; others are read so that their connection can be kept.
        const remaining = Math.max(1, deadline - monotonicMilliseconds());
        const timeout = route.resumable ? Math.min(ERROR_BODY_MILLISECONDS, remaining) : remaining;
        const body = await readResponseBody(backendResponse, timeout, MAXIMUM_RESPONSE_BYTES, request.memory);
        signal.removeEventListener("abort", close);
        if (
            !body || await findEndState() !== "running" || response.headersSent || response.destroyed || route.resumable
        ) {
            return {
                kind: "may-have-run",
                message: `The decode engine answered with status ${backendResponse.status}`,
            };
        }
        response.writeHead(backendResponse.status, [
            ...filterRawHeaders(backendResponse.rawHeaders, NO_HEADERS),
            "Content-Length",
            String(body.length),
        ]);
        response.end(body);
        return { kind: "relayed" };
    }
}
