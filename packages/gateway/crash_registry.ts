import { createHash } from "node:crypto";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { Directory } from "../directory/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { CrashedRun } from "../prompt_parts/mod.ts";

/** Number of crashed servers at which a request is blocked. */
const MAXIMUM_CRASHED_SERVERS = 3;
/** Time in milliseconds after a broken connection during which the end of the server counts as a crash. */
const CONFIRMATION_MILLISECONDS = 5_000;
/** Time in milliseconds for which a crash counts. */
const CRASH_LIFETIME_MILLISECONDS = 30_000;
/** Time in milliseconds for which a crash is reported to peers. */
const REPORT_MILLISECONDS = 2_000;
const MAXIMUM_ENTRIES = 2_000;
const FINGERPRINT_CHARACTERS = 16;

/** The parts of a request that identify its repetitions. */
interface IdentifiableRequest {
    path: string;
    body: Buffer;
    organisation: { name: string; } | undefined;
}

/** A run of a request: when it was sent to the server, and the parts of its prompt that may have crashed the server. */
interface Run {
    /** Monotonic time in milliseconds. */
    sentAt: number;
    parts: string[];
}

/** A crash of a server, confirmed or suspected, while a request ran on it. */
interface Crash {
    fingerprint: string;
    server: string;
    /** Monotonic time in milliseconds. */
    at: number;
    run?: Run | undefined;
}

/**
 * Counts, for each request, the servers that crashed while it ran on them. Every request on a crashed server is a
 * suspect; one that ran on several of them is taken for the cause and blocked.
 *
 * @example
 * ```ts
 * const registry = new CrashRegistry(directory, logger);
 * registry.recordBrokenConnection(request, "server-1");
 * registry.isBlocked(request); // false
 * ```
 */
export class CrashRegistry {
    readonly #suspects: Crash[] = [];
    readonly #crashes = new Map<string, Crash[]>();
    readonly #registeredStarts = new Map<string, number>();

    /**
     * @param directory Registered servers; one that is removed or registers with a new start counts as crashed.
     * @param logger Logs blocked requests.
     * @param onCrash Called for each run of this instance during which a server crashed.
     */
    constructor(
        private readonly directory: Directory,
        private readonly logger: Logger,
        private readonly onCrash: (run: CrashedRun) => void = () => {},
    ) {
        directory.onChange(() => this.#confirmSuspects());
    }

    /**
     * Records that the connection to a server broke while a request ran on it.
     *
     * @param request The request.
     * @param server Id of the server.
     * @param run The run of which no event was delivered; undefined if there were events.
     */
    recordBrokenConnection(request: IdentifiableRequest, server: string, run?: Run): void {
        this.#suspects.push({ fingerprint: computeFingerprint(request), server, at: monotonicMilliseconds(), run });
        if (this.#suspects.length > MAXIMUM_ENTRIES) {
            this.#suspects.shift();
        }
    }

    /**
     * Records that a server has ended: its port refuses connections, or another server responds there.
     *
     * @param server Id of the server.
     */
    recordServerEnd(server: string): void {
        const oldest = monotonicMilliseconds() - CONFIRMATION_MILLISECONDS;
        for (let index = this.#suspects.length - 1; index >= 0; index--) {
            const suspect = this.#suspects[index];
            if (!suspect || suspect.at < oldest) {
                this.#suspects.splice(index, 1);
            }
            else if (suspect.server === server) {
                this.#suspects.splice(index, 1);
                this.#record(suspect);
                if (suspect.run) {
                    const { sentAt, parts } = suspect.run;
                    this.onCrash({ server, sentAt, endedAt: suspect.at, parts });
                }
            }
        }
    }

    /**
     * Records a crash that a peer has reported.
     *
     * @param fingerprint Fingerprint of the request.
     * @param server Id of the server.
     */
    recordPeerCrash(fingerprint: string, server: string): void {
        this.#record({ fingerprint, server, at: monotonicMilliseconds() });
    }

    /**
     * Lists the crashes to report to peers.
     *
     * @returns Fingerprints and server ids.
     */
    recent(): [string, string][] {
        const oldest = monotonicMilliseconds() - REPORT_MILLISECONDS;
        return [...this.#crashes.values()].flat()
            .filter(({ at }) => at > oldest)
            .map(({ fingerprint, server }) => [fingerprint, server]);
    }

    /**
     * Returns whether a request has crashed so many servers that it must not run again.
     *
     * @param request The request.
     * @returns Whether it is blocked.
     */
    isBlocked(request: IdentifiableRequest): boolean {
        if (this.#crashes.size === 0) {
            return false;
        }
        const oldest = monotonicMilliseconds() - CRASH_LIFETIME_MILLISECONDS;
        const crashes = this.#crashes.get(computeFingerprint(request)) ?? [];
        return crashes.filter(({ at }) => at > oldest).length >= MAXIMUM_CRASHED_SERVERS;
    }

    #record(crash: Crash): void {
        const crashes = this.#crashes.get(crash.fingerprint) ?? [];
        const known = crashes.find(({ server }) => server === crash.server);
        if (known && crash.at - known.at < CRASH_LIFETIME_MILLISECONDS) {
            return;
        }
        if (known) {
            // The server has crashed once more after the first crash has ceased to count.
            crashes.splice(crashes.indexOf(known), 1);
        }
        crashes.push(crash);
        this.#crashes.delete(crash.fingerprint);
        this.#crashes.set(crash.fingerprint, crashes);
        if (crashes.length === MAXIMUM_CRASHED_SERVERS) {
            const servers = crashes.map(({ server }) => server);
            this.logger.warn("request crashes servers", { fingerprint: crash.fingerprint, servers });
        }
        const oldest = [...this.#crashes.keys()][0];
        if (this.#crashes.size > MAXIMUM_ENTRIES && oldest !== undefined) {
            this.#crashes.delete(oldest);
        }
    }

    #confirmSuspects(): void {
        if (this.#suspects.length === 0) {
            return;
        }
        for (const { server, at } of [...this.#suspects]) {
            const registered = this.directory.servers.get(server);
            const startedAt = this.#registeredStarts.get(server);
            if (!registered || (startedAt !== undefined && registered.startedAt !== startedAt)) {
                this.recordServerEnd(server);
            }
            else if (monotonicMilliseconds() - at < CONFIRMATION_MILLISECONDS) {
                this.#registeredStarts.set(server, registered.startedAt);
            }
        }
        for (const id of this.#registeredStarts.keys()) {
            if (!this.directory.servers.has(id)) {
                this.#registeredStarts.delete(id);
            }
        }
    }
}

function computeFingerprint({ path, body, organisation }: IdentifiableRequest): string {
    return createHash("sha1")
        .update(`${path}\n${organisation?.name ?? ""}\n`)
        .update(body)
        .digest("base64")
        .slice(0, FINGERPRINT_CHARACTERS);
}
