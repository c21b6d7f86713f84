import type { RegisteredServer } from "../directory/mod.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { ServerLoad } from "./server_load.ts";
import { SilenceWatch } from "./silence_watch.ts";

/** Fraction of its remaining time that an idempotent request may take on a server if another one can take it. */
const ATTEMPT_TIME_FRACTION = 0.45;

/**
 * Watches one send of an idempotent request. A server without an answer after a part of the remaining time is slow, which
 * counts as one failure; the send is given up only once another server has answered.
 *
 * @example
 * ```ts
 * const watch = new SlowServerWatch(request, 2_000, load, () => sendToAnother(request));
 * watch.signal.aborted; // false
 * watch.close();
 * ```
 */
export class SlowServerWatch {
    readonly #watch: SilenceWatch;
    #isSlow = false;
    #successor: RegisteredServer | undefined;

    /**
     * @param request The request.
     * @param remainingMilliseconds Time in milliseconds until the deadline of the request.
     * @param load Load of the server.
     * @param findSuccessor Called if the server is slow; resolves to another server once that one has answered.
     */
    constructor(
        request: GatewayRequest,
        remainingMilliseconds: number,
        load: ServerLoad,
        findSuccessor: () => Promise<RegisteredServer | undefined>,
    ) {
        const onSilence = async () => {
            this.#isSlow = true;
            load.recordFailure();
            this.#successor = await findSuccessor();
            return this.#successor !== undefined;
        };
        // A second silence would end after the deadline.
        this.#watch = new SilenceWatch(
            remainingMilliseconds,
            request.signal,
            onSilence,
            remainingMilliseconds * ATTEMPT_TIME_FRACTION,
        );
    }

    /** Aborts when the send is given up, or the whole request. */
    get signal(): AbortSignal {
        return this.#watch.signal;
    }

    /** Whether the server was slow. */
    get isSlow(): boolean {
        return this.#isSlow;
    }

    /** The server that has answered, for which the send was given up. */
    get successor(): RegisteredServer | undefined {
        return this.#watch.isGivenUp ? this.#successor : undefined;
    }

    /** Records that the answer has begun: from then on the send ends only with the whole request. */
    recordAnswer(): void {
        this.#watch.touch();
    }

    /** Ends the watch. */
    close(): void {
        this.#watch.close();
    }
}
