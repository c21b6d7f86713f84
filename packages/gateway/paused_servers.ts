import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import { nameServerStart } from "./_name_server_start.ts";
import { parseRetryAfter } from "./parse_retry_after.ts";

/** Characters of a header's value that are logged. */
const LOGGED_CHARACTERS = 64;

/** A start of a server: its id and the Unix time in milliseconds at which it started. */
type ServerStart = Pick<RegisteredServer, "id" | "startedAt">;

/** Dependencies of {@linkcode PausedServers}. */
interface PausedServersOptions {
    /** Longest pause in milliseconds that is kept. */
    maximumMilliseconds: () => number;
    metrics: Metrics;
    logger: Logger;
    /** Monotonic time in milliseconds. Default: the monotonic clock. */
    now?: () => number;
}

/**
 * Remembers the servers that have asked this instance for a pause. It ends at its time or with another start of the
 * server. Unlike a suspension-aware clock, the monotonic clock does not end it early when the wall clock is set.
 *
 * @example
 * ```ts
 * const paused = new PausedServers({ maximumMilliseconds: () => 300_000, metrics, logger });
 * paused.record(server, "1.5", undefined);
 * paused.remainingMilliseconds(server); // 1500
 * ```
 */
export class PausedServers {
    /** Monotonic times in milliseconds of the ends, by id and start, since an older entry of a server may come back for a while. */
    readonly #pauses = new Map<string, number>();
    readonly #now: () => number;

    /**
     * @param options Dependencies.
     */
    constructor(private readonly options: PausedServersOptions) {
        this.#now = options.now ?? monotonicMilliseconds;
    }

    /**
     * Records that a server has asked for a pause.
     *
     * @param server The server, as it was registered when the request was sent.
     * @param retryAfter Value of the Retry-After header.
     * @param date Value of the Date header, if there is one.
     */
    record(server: ServerStart, retryAfter: string, date: string | undefined): void {
        const { metrics, logger, maximumMilliseconds } = this.options;
        const { id, startedAt } = server;
        const sentAt = Date.parse(date ?? "");
        const asked = parseRetryAfter(retryAfter, Number.isNaN(sentAt) ? Date.now() : sentAt);
        const value = retryAfter.slice(0, LOGGED_CHARACTERS);
        if (asked === undefined || asked === 0) {
            const result = asked === 0 ? "none" : "malformed";
            metrics.increment("server_pauses_total", { result });
            logger.info("time of a server's pause is not usable", { server: id, value, result });
            return;
        }
        const milliseconds = Math.min(asked, maximumMilliseconds());
        const result = milliseconds < asked ? "capped" : "kept";
        metrics.increment("server_pauses_total", { result });
        const endsAt = this.#now() + milliseconds;
        if ((this.#pauses.get(nameServerStart(server)) ?? 0) >= endsAt) {
            return;
        }
        this.#removeEnded();
        this.#pauses.set(nameServerStart(server), endsAt);
        logger.info("server asks for a pause", { server: id, startedAt, value, milliseconds, result });
    }

    /**
     * Returns the time for which a server gets no requests.
     *
     * @param server The server.
     * @returns The time in milliseconds; 0 if it has not asked for a pause, or if that has ended.
     */
    remainingMilliseconds(server: ServerStart): number {
        const endsAt = this.#pauses.get(nameServerStart(server));
        return endsAt === undefined ? 0 : Math.max(0, endsAt - this.#now());
    }

    #removeEnded(): void {
        const now = this.#now();
        for (const [key, endsAt] of this.#pauses) {
            if (endsAt <= now) {
                this.#pauses.delete(key);
            }
        }
    }
}
