import { monotonicMilliseconds, sleep } from "../clocks/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import { createStreamRefusal } from "./_create_stream_refusal.ts";
import { EngineClient } from "./engine_client.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRefusal } from "./gateway_refusal.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { PassProgress } from "./pass_progress.ts";
import { PromptWitness } from "./prompt_witness.ts";

/**
 * Longest time in milliseconds for which a stream waits for the engines' word: entries of engines that are gone lapse within
 * three heartbeats of the store's return, and those that are alive are back within two seconds.
 */
const MAXIMUM_TESTIMONY_MILLISECONDS = 2_000;
/** Largest part of a request's remaining time that it waits for the engines' word. */
const MAXIMUM_TESTIMONY_FRACTION = 1 / 2;
/** Pause in milliseconds before engines are asked again. */
const ASK_AGAIN_MILLISECONDS = 100;

/**
 * Lets a stream go on only at the software version that began it.
 *
 * @example
 * ```ts
 * const refusal = await new VersionGuard(context).admit(request, progress);
 * ```
 */
export class VersionGuard {
    readonly #promptWitness: PromptWitness;

    /**
     * @param context Shared objects of the gateway.
     */
    constructor(private readonly context: GatewayContext) {
        this.#promptWitness = new PromptWitness({ ...context, engineClient: new EngineClient(context) });
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
        progress.softwareVersion = finding.kind === "unknown" ? await this.#askEngines(request) : finding.version;
        if (finding.kind === "unknown" && progress.softwareVersion === undefined) {
            const message = "Which software version began the stream is not known";
            return createStreamRefusal("stream-version-unknown", "not-run", message);
        }
        return undefined;
    }

    /** Asks the engines which of them has run a stream that no instance knows, until each has answered or is gone. */
    async #askEngines(request: GatewayRequest): Promise<string | undefined> {
        const { metrics, logger, streamVersions } = this.context;
        const startedAt = monotonicMilliseconds();
        const longest = (request.deadline - startedAt) * MAXIMUM_TESTIMONY_FRACTION;
        const until = startedAt + Math.min(MAXIMUM_TESTIMONY_MILLISECONDS, longest);
        while (true) {
            // Before the servers have returned, the engine that keeps the prompt may be one that the directory lacks.
            const haveReturned = streamVersions.haveServersReturned(request.service.name);
            const testimony = haveReturned ? await this.#promptWitness.ask(request) : undefined;
            const isFinal = testimony && (testimony.silent === 0 || testimony.keptAt.length > 1);
            const now = monotonicMilliseconds();
            if (isFinal || now >= until || request.signal.aborted) {
                const version = testimony?.version;
                const result = version === undefined ? "open" : "placed";
                metrics.increment("streams_placed_by_prompt_total", { result });
                logger.info("engines asked for the prompt of a stream", {
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
     * Notes at the first event of a stream that its caller may take up which version began it.
     *
     * @param request The request.
     * @param server The server whose event came.
     * @param progress Progress of its stream.
     */
    recordEvent(request: GatewayRequest, server: RegisteredServer, progress: PassProgress): void {
        if (progress.softwareVersion === undefined && request.route.resumable) {
            const version = server.softwareVersion;
            progress.softwareVersion = version;
            this.context.streamVersions.begin(request.id, { service: request.service.name, version });
        }
    }
}
