import { createHash } from "node:crypto";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { Directory, RegisteredServer } from "../directory/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { CrashedRun } from "../prompt_parts/mod.ts";
import type { ReachabilityMonitor } from "../reachability/mod.ts";
import { nameServerStart } from "./_name_server_start.ts";

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

/** A server as it was registered when a request was sent to it. */
type ServerStart = Pick<RegisteredServer, "id" | "startedAt">;

/** A run of a request that may have crashed its server. */
type SuspectedRun = Pick<CrashedRun, "aliveAt" | "parts">;

/** A crash of a server, confirmed or suspected, while a request ran on it. */
interface Crash {
    fingerprint: string;
    /** Name of the server's start. */
    start: string;
    /** Monotonic time in milliseconds. */
    at: number;
}

/** Tells what is seen of servers from the effects of isolation. */
type Links = Pick<ReachabilityMonitor, "isSuspected" | "settle" | "confirmLinks" | "onChange">;

/** A crash that is not confirmed yet. */
interface Suspicion extends Crash {
    server: string;
    startedAt: number;
    run: SuspectedRun | undefined;
}

/**
 * Counts, for each request, the starts of servers that crashed while it ran on them. Every request on a crashed server is a
 * suspect; one that ran on several of them is taken for the cause and blocked.
 *
 * @example
 * ```ts
 * const registry = new CrashRegistry(directory, logger);
 * registry.recordBrokenConnection(request, { id: "server-1", startedAt });
 * registry.isBlocked(request); // false
 * ```
 */
export class CrashRegistry {
    #suspicions: Suspicion[] = [];
    readonly #crashes = new Map<string, Crash[]>();
    #isSettling = false;

    /**
     * @param directory Registered servers; one that is removed or registers with a new start counts as crashed.
     * @param logger Logs blocked requests.
     * @param onCrash Called for each suspected run of this instance whose server is proved to have crashed.
     * @param links Tells whether what is seen of servers may be due to isolation. Default: it never is.
     */
    constructor(
        private readonly directory: Directory,
        private readonly logger: Logger,
        private readonly onCrash: (run: CrashedRun) => void = () => {},
        private readonly links?: Links,
    ) {
        // Connections that broke shortly before or during isolation are no evidence, even if their servers end later.
        links?.onChange(() => this.#suspicions = []);
        directory.onChange(() => this.#confirmByRegistrations());
    }

    /**
     * Records that the connection to a server broke while a request ran on it.
     *
     * @param request The request.
     * @param server The server.
     * @param run The run, if it may have crashed the server by a part of its prompt.
     */
    recordBrokenConnection(request: IdentifiableRequest, server: ServerStart, run?: SuspectedRun): void {
        const { id, startedAt } = server;
        const fingerprint = computeFingerprint(request);
        const at = monotonicMilliseconds();
        this.#suspicions.push({ fingerprint, start: nameServerStart(server), server: id, startedAt, at, run });
        if (this.#suspicions.length > MAXIMUM_ENTRIES) {
            this.#suspicions.shift();
        }
    }

    /**
     * Records that a server has ended: its port refuses connections, or another server responds there.
     *
     * @param server Id of the server.
     * @param startedAt Unix time in milliseconds of the start that has ended. Default: all starts.
     */
    recordServerEnd(server: string, startedAt?: number): void {
        this.#confirm(
            suspicion => suspicion.server === server && (startedAt ?? suspicion.startedAt) === suspicion.startedAt,
            true,
        );
    }

    /**
     * Records that a server could not be reached, which shows its end if another server can be.
     *
     * @param server The server, as it was registered when it was called.
     * @returns A promise that resolves once the end is recorded, or found to be none.
     */
    async recordUnreachable(server: ServerStart): Promise<void> {
        const { id, startedAt } = server;
        if (!this.#suspicions.some(suspicion => suspicion.server === id && suspicion.startedAt === startedAt)) {
            return;
        }
        if (!this.links || await this.links.confirmLinks(id)) {
            this.recordServerEnd(id, startedAt);
        }
    }

    /**
     * Records a crash that a peer has reported.
     *
     * @param fingerprint Fingerprint of the request.
     * @param start Name of the start of the server.
     */
    recordPeerCrash(fingerprint: string, start: string): void {
        this.#record({ fingerprint, start, at: monotonicMilliseconds() });
    }

    /**
     * Lists the crashes to report to peers.
     *
     * @returns Fingerprints and names of the servers' starts.
     */
    recent(): [string, string][] {
        const oldest = monotonicMilliseconds() - REPORT_MILLISECONDS;
        return [...this.#crashes.values()].flat()
            .filter(({ at }) => at > oldest)
            .map(({ fingerprint, start }) => [fingerprint, start]);
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
        const known = crashes.find(({ start }) => isSameStart(start, crash.start));
        if (known && crash.at - known.at < CRASH_LIFETIME_MILLISECONDS) {
            return;
        }
        if (known) {
            // A server whose starts cannot be told apart has crashed once more after the first crash has ceased to count.
            crashes.splice(crashes.indexOf(known), 1);
        }
        crashes.push(crash);
        this.#crashes.delete(crash.fingerprint);
        this.#crashes.set(crash.fingerprint, crashes);
        if (crashes.length === MAXIMUM_CRASHED_SERVERS) {
            const servers = crashes.map(({ start }) => start);
            this.logger.warn("request crashes servers", { fingerprint: crash.fingerprint, servers });
        }
        const oldest = [...this.#crashes.keys()][0];
        if (this.#crashes.size > MAXIMUM_ENTRIES && oldest !== undefined) {
            this.#crashes.delete(oldest);
        }
    }

    /** Confirms crashes of servers that have registered with another start, or are no longer registered. */
    #confirmByRegistrations(): void {
        if (this.links?.isSuspected) {
            void this.#confirmOnceSettled(this.links);
            return;
        }
        const { servers } = this.directory;
        this.#confirm(({ server, startedAt }) => (servers.get(server)?.startedAt ?? startedAt) !== startedAt, true);
        // A registration may also be removed since the server has left or the store has lost it.
        this.#confirm(({ server }) => !servers.has(server), false);
    }

    async #confirmOnceSettled(links: Links): Promise<void> {
        if (this.#suspicions.length === 0 || this.#isSettling) {
            return;
        }
        this.#isSettling = true;
        const areStanding = await links.settle();
        this.#isSettling = false;
        if (areStanding) {
            this.#confirmByRegistrations();
        }
    }

    #confirm(matches: (suspicion: Suspicion) => boolean, isProved: boolean): void {
        const oldest = monotonicMilliseconds() - CONFIRMATION_MILLISECONDS;
        const recent = this.#suspicions.filter(({ at }) => at >= oldest);
        this.#suspicions = recent.filter(suspicion => !matches(suspicion));
        for (const { fingerprint, start, server, startedAt, at, run } of recent.filter(matches)) {
            this.#record({ fingerprint, start, at });
            if (run && isProved) {
                this.onCrash({ server, startedAt, endedAt: at, ...run });
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

/** Whether two names may be of one start; peers that run a former build name only the server's id. */
function isSameStart(left: string, right: string): boolean {
    return left === right || left.startsWith(`${right} `) || right.startsWith(`${left} `);
}
