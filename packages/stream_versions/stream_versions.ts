import { monotonicMilliseconds, PeriodicTask, sleep } from "../clocks/mod.ts";
import { logFailure } from "../logs/mod.ts";
import type { FoundOrigin } from "./found_origin.ts";
import { ServedVersions } from "./served_versions.ts";
import { StreamLedger } from "./stream_ledger.ts";
import type { StreamOrigin } from "./stream_origin.ts";
import { StreamOrigins } from "./stream_origins.ts";
import type { StreamVersionsOptions } from "./stream_versions_options.ts";
import type { VersionFinding } from "./version_finding.ts";

/** Time for which the version that began a stream is remembered. */
const STREAM_LIFETIME_MILLISECONDS = 64_000;
/** Pause between two writes of one instance. */
const RECORD_PERIOD_MILLISECONDS = 200;
/** Largest number of writes that all instances together make in a second. */
const RECORDS_PER_SECOND = 100;
const MILLISECONDS_PER_SECOND = 1_000;
/** Pause after a write that failed. */
const FAILED_PAUSE_MILLISECONDS = 1_000;
/**
 * Age of the directory above which nothing is concluded from what it lacks: no watch answers. Shorter ages are ordinary,
 * between two answers of a watch and on the way from peers.
 */
const MAXIMUM_DIRECTORY_AGE_MILLISECONDS = 1_500;
/** Longest wait for the next read of an instance whose directory is older. */
const READ_WAIT_MILLISECONDS = 1_000;
/** Longest wait for the record of a stream that began a moment ago at another instance. */
const RECORD_WAIT_MILLISECONDS = 400;
const RECORD_CHECK_MILLISECONDS = 25;

/**
 * Finds out which software version began a stream that a caller takes up, at whichever instance it arrives and also after
 * all instances have been restarted. What several versions write does not fit together, and servers do not check it.
 *
 * While a service certainly has one version only, nothing is recorded. Otherwise each stream that begins is recorded in the
 * store. What is only concluded, is never recorded.
 *
 * @example
 * ```ts
 * const versions = new StreamVersions(options);
 * versions.start();
 * versions.begin("9c41d07b", { service: "models", version: "v2" });
 * await versions.find("9c41d07b", "models"); // { kind: "recorded", version: "v2", evidence }
 * await versions.close();
 * ```
 */
export class StreamVersions {
    readonly #origins: StreamOrigins;
    readonly #served: ServedVersions;
    readonly #ledger: StreamLedger;
    #task: PeriodicTask | undefined;
    /** Monotonic time in milliseconds from which the next write may be made. */
    #recordAt = 0;

    /**
     * @param options Dependencies.
     */
    constructor(private readonly options: StreamVersionsOptions) {
        const { clock, metrics } = options;
        this.#origins = new StreamOrigins(clock, STREAM_LIFETIME_MILLISECONDS);
        this.#served = new ServedVersions({ ...options, minimumLifetimeMilliseconds: STREAM_LIFETIME_MILLISECONDS });
        this.#ledger = new StreamLedger({ ...options, origins: this.#origins });
        metrics.gauge("stream_origins", () => this.#origins.size);
    }

    /** Begins to observe the versions in service and to record streams. */
    start(): void {
        const onError = logFailure(this.options.logger, "record of streams failed");
        this.#task = new PeriodicTask(RECORD_PERIOD_MILLISECONDS, async () => await this.#step(), onError);
    }

    /**
     * Stops recording.
     *
     * @returns A promise that resolves once the last write has ended.
     */
    async close(): Promise<void> {
        await this.#task?.close();
    }

    /**
     * Notes that a stream has begun at this instance.
     *
     * @param stream Id of the caller's attempt that gets its first event.
     * @param origin What began it.
     */
    begin(stream: string, origin: StreamOrigin): void {
        this.#origins.begin(stream, origin);
    }

    /**
     * Finds out which version began a stream.
     *
     * @param stream Id of the caller's attempt that got the first event; undefined if the caller has not named it.
     * @param service Name of the service.
     * @returns What is known; resolves after a short wait if a record or a read of the store may be on its way.
     */
    async find(stream: string | undefined, service: string): Promise<VersionFinding> {
        const startedAt = monotonicMilliseconds();
        let isOnlyListed: boolean | undefined;
        while (true) {
            const found = stream === undefined ? undefined : this.#origins.find(stream);
            const evidence = () => ({ ...this.#served.describe(service), record: withoutOrigin(found) });
            const origin = found?.origin.service === service ? found.origin : undefined;
            const claimed = found?.isIdentified ? undefined : origin;
            if (origin && found?.isIdentified) {
                return { kind: "recorded", version: origin.version, evidence: evidence() };
            }
            this.#served.observe();
            const [version, ...others] = this.#served.candidates(service);
            const isOnly = version !== undefined && others.length === 0 && this.#served.isCertain(service);
            if (isOnly && this.options.directoryAge() < MAXIMUM_DIRECTORY_AGE_MILLISECONDS) {
                isOnlyListed ??= await this.#served.isOnlyListed(service, version);
                if (isOnlyListed) {
                    return { kind: "only-version", version, evidence: evidence() };
                }
            }
            const waited = monotonicMilliseconds() - startedAt;
            if (
                isOnly && isOnlyListed === undefined
                    ? waited >= READ_WAIT_MILLISECONDS
                    : stream === undefined || waited >= RECORD_WAIT_MILLISECONDS
            ) {
                return { kind: "unknown", claimedVersion: claimed?.version, evidence: evidence() };
            }
            await sleep(RECORD_CHECK_MILLISECONDS);
        }
    }

    /**
     * Finds the only version that can have begun a stream of a service.
     *
     * @param service Name of the service.
     * @returns The version; undefined if there may be others.
     */
    async findOnlyVersion(service: string): Promise<string | undefined> {
        const finding = await this.find(undefined, service);
        return finding.kind === "only-version" ? finding.version : undefined;
    }

    /**
     * Returns whether the servers of a service that are alive have registered since the store may have come back.
     *
     * @param service Name of the service.
     * @returns Whether the directory lacks none of them.
     */
    haveServersReturned(service: string): boolean {
        return this.#served.haveServersReturned(service);
    }

    /**
     * Returns whether a version stands on the list in the store; one that does not is forgotten if all instances end.
     *
     * @param service Name of the service.
     * @param version The version.
     * @returns Whether it is listed.
     */
    isListed(service: string, version: string): boolean {
        return this.#served.isListed(service, version);
    }

    /**
     * Records that a process begins streams before its entry has come.
     *
     * @param service Name of the service.
     * @param server Id of the server.
     * @param startedAt Unix time in milliseconds of the process's start.
     * @returns Whether all instances will know of it.
     */
    addUnregistered(service: string, server: string, startedAt: number): Promise<boolean> {
        return this.#served.addUnregistered(service, server, startedAt);
    }

    async #step(): Promise<void> {
        this.#origins.removeExpired();
        this.#served.observe();
        if (monotonicMilliseconds() < this.#recordAt) {
            return;
        }
        const isRecorded = await this.#served.record() && await this.#ledger.record(this.#served.mixedServices());
        const pause = this.options.instanceCount() / RECORDS_PER_SECOND * MILLISECONDS_PER_SECOND;
        this.#recordAt = monotonicMilliseconds() + Math.max(pause, isRecorded ? 0 : FAILED_PAUSE_MILLISECONDS);
    }
}

/** How a stream is known, without what began it. */
function withoutOrigin(found: FoundOrigin | undefined): Omit<FoundOrigin, "origin"> | undefined {
    if (!found) {
        return undefined;
    }
    const { isIdentified, source, era, ageMilliseconds } = found;
    return { isIdentified, source, era, ageMilliseconds };
}
