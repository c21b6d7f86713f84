import { monotonicMilliseconds, sleep, within } from "../clocks/mod.ts";
import { logFailure } from "../logs/mod.ts";
import { createStreamRefusal } from "./_create_stream_refusal.ts";
import { EngineClient } from "./engine_client.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRefusal } from "./gateway_refusal.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { PassProgress } from "./pass_progress.ts";
import { RunWitness } from "./run_witness.ts";

/**
 * Longest time in milliseconds for which a stream waits for the engines' word: entries of engines that are gone lapse within
 * three heartbeats of the store's return, and those that are alive are back within two seconds.
 */
const MAXIMUM_TESTIMONY_MILLISECONDS = 2_000;
/** Largest part of a request's remaining time that it waits for the engines' word. */
const MAXIMUM_TESTIMONY_FRACTION = 1 / 2;
/** Pause in milliseconds before engines are asked again. */
const ASK_AGAIN_MILLISECONDS = 100;
/** Longest time in milliseconds for which a stream that goes on waits until the process that wrote its events is identified. */
const IDENTIFY_MILLISECONDS = 1_000;

/**
 * Lets a stream go on only at the software version that began it.
 *
 * @example
 * ```ts
 * const refusal = await new VersionGuard(context).admit(request, progress);
 * ```
 */
export class VersionGuard {
    readonly #runWitness: RunWitness;

    /**
     * @param context Shared objects of the gateway.
     */
    constructor(private readonly context: GatewayContext) {
        this.#runWitness = new RunWitness({ ...context, engineClient: new EngineClient(context) });
    }

    /**
     * Finds out at which version a stream that its caller takes up may go on, and keeps it in the progress.
     *
     * @param request The request.
     * @param progress Progress of its stream.
     * @returns The refusal if the version is not known; undefined if the request may go on or asks for a new stream.
     */
    async admit(request: GatewayRequest, progress: PassProgress): Promise<GatewayRefusal | undefined> {
        const { id, resumedStream, service } = request;
        if (!resumedStream) {
            return undefined;
        }
        const { streamVersions, metrics, logger, directoryUpdater } = this.context;
        const { firstAttempt } = resumedStream;
        const finding = await streamVersions.find(firstAttempt, service.name);
        metrics.increment("streams_taken_up_total", { version: finding.kind });
        logger.info("stream taken up", {
            request: id,
            stream: firstAttempt,
            service: service.name,
            finding: finding.kind,
            version: finding.kind === "unknown" ? undefined : finding.version,
            ...finding.evidence,
            copyInDoubt: directoryUpdater.isCopyInDoubt,
            ...directoryUpdater.logFields(),
        });
        progress.softwareVersion = finding.kind === "unknown"
            ? await this.#askEngines(request, finding.claimedVersion)
            : finding.version;
        if (finding.kind === "unknown" && progress.softwareVersion === undefined) {
            const message = "Which software version began the stream is not known";
            return createStreamRefusal("stream-version-unknown", "not-run", message);
        }
        return undefined;
    }

    /** Asks the engines which of them has run a stream that no instance knows, until each has answered or is gone. */
    async #askEngines(
        request: GatewayRequest,
        claimedVersion: string | undefined,
    ): Promise<string | undefined> {
        const { metrics, logger, streamVersions } = this.context;
        const stream = { request, firstAttempt: request.resumedStream?.firstAttempt, claimedVersion };
        const startedAt = monotonicMilliseconds();
        const longest = (request.deadline - startedAt) * MAXIMUM_TESTIMONY_FRACTION;
        const until = startedAt + Math.min(MAXIMUM_TESTIMONY_MILLISECONDS, longest);
        while (true) {
            // Before the servers have returned, the engine that ran the stream may be one that the directory lacks.
            const haveReturned = streamVersions.haveServersReturned(request.service.name);
            const testimony = haveReturned ? await this.#runWitness.ask(stream) : undefined;
            const isFinal = testimony && (testimony.silent === 0 || testimony.readAt.length > 1);
            const now = monotonicMilliseconds();
            if (isFinal || now >= until || request.signal.aborted) {
                const version = testimony?.version;
                const result = version === undefined ? "open" : "placed";
                metrics.increment("streams_placed_by_engines_total", { result });
                logger.info("engines asked for the run of a stream", {
                    request: request.id,
                    ...testimony,
                    haveReturned,
                    waitedMilliseconds: Math.round(now - startedAt),
                });
                return version;
            }
            await sleep(ASK_AGAIN_MILLISECONDS, request.signal);
        }
    }

    /**
     * Notes at the first event of a stream that its caller may take up which version began it, once that is known.
     *
     * @param request The request.
     * @param identified Version of the process that writes the stream, once it is identified.
     * @param progress Progress of its stream.
     */
    recordEvent(
        request: GatewayRequest,
        identified: Promise<string | undefined> | undefined,
        progress: PassProgress,
    ): void {
        if (progress.softwareVersion === undefined && !progress.identified && identified) {
            progress.identified = identified;
            const { streamVersions, logger } = this.context;
            identified.then(version => {
                if (version !== undefined) {
                    streamVersions.begin(request.id, { service: request.service.name, version });
                }
                else {
                    logger.warn("process that began a stream not identified", { request: request.id });
                }
            }).catch(logFailure(logger, "process of an engine not identified", { request: request.id }));
        }
    }

    /**
     * Decides at which version a stream whose events have begun may go on at another engine.
     *
     * @param request The request.
     * @param progress Progress of the stream.
     * @returns The refusal if it is not known which process wrote the events; undefined if the stream may go on.
     */
    async admitNextPass(request: GatewayRequest, progress: PassProgress): Promise<GatewayRefusal | undefined> {
        if (progress.identified) {
            progress.softwareVersion = await within(progress.identified, IDENTIFY_MILLISECONDS)
                ?? await this.context.streamVersions.findOnlyVersion(request.service.name);
            if (progress.softwareVersion === undefined) {
                const message = "Which process of the engine wrote the stream is not known";
                return createStreamRefusal("stream-version-unknown", "may-have-run", message);
            }
            progress.identified = undefined;
        }
        return undefined;
    }
}
