import { err, ok, type Result } from "neverthrow";
import { PeriodicTask, sleep } from "../clocks/mod.ts";
import {
    applyOperations,
    type ConfigurationChange,
    type DocumentOperation,
    emptyDocument,
    type StoredConfiguration,
    storedConfigurationSchema,
} from "../configuration/mod.ts";
import { instanceId } from "../instances/mod.ts";
import { selectMembers } from "../membership/mod.ts";
import { comparePositions, positionOf, type StorePosition } from "../replica/mod.ts";
import { type StoredValue, type StoreFailure, updateValue } from "../store/mod.ts";
import type { ConfigurationFollowerOptions } from "./configuration_follower_options.ts";

const CONFIGURATION_KEY = "configuration";
const WATCHER_COUNT = 3;
const WATCH_TIMEOUT_MILLISECONDS = 2_000;
const FOLLOW_PAUSE_MILLISECONDS = 100;
const FAILURE_PAUSE_MILLISECONDS = 400;
const STALE_AFTER_MILLISECONDS = 3_000;
const CHANGE_DEADLINE_MILLISECONDS = 5_000;
const MAXIMUM_RECENT_CHANGES = 64;

/** Outcome of a change by an operator; `"raced"` if other operators changed the configuration first. */
type ChangeOutcome = { kind: "stored"; version: number; } | {
    kind: "raced";
    version: number;
    changes: ConfigurationChange[];
};

/**
 * Applies the configuration from the store and changes it for operators.
 *
 * A few members watch the store. The others receive changes from their peers and read the store only if their version
 * has not been confirmed for a while.
 *
 * @example
 * ```ts
 * const follower = new ConfigurationFollower(options);
 * follower.start();
 * const operations = [{ collection: "drainedDomains" as const, name: "riga", value: { since: "" } }];
 * await follower.change(undefined, operations, "attempt-1");
 * await follower.close();
 * ```
 */
export class ConfigurationFollower {
    #task: PeriodicTask | undefined;
    #position: StorePosition = { era: 0, revision: 0 };
    #hasReadStore = false;

    /**
     * @param options Dependencies of the follower.
     */
    constructor(private readonly options: ConfigurationFollowerOptions) {}

    /** Whether a configuration was received from the store or a peer, or the store was read and holds none. */
    get ready(): boolean {
        return this.#hasReadStore || this.options.configuration.version > 0;
    }

    /** Starts to follow the configuration. */
    start(): void {
        this.#task = new PeriodicTask(FOLLOW_PAUSE_MILLISECONDS, signal => this.#follow(signal), error => {
            this.options.logger.error("failed to read or apply the configuration", { error: String(error) });
        });
    }

    /**
     * Changes the configuration in the store.
     *
     * @param baseVersion Version that the change is based on; any version if absent.
     * @param operations Operations that make up the change.
     * @param attempt Identifies the change, so that a retry after a lost response does not make it twice.
     * @returns The version that contains the change, or the changes of other operators since the base version.
     */
    async change(
        baseVersion: number | undefined,
        operations: DocumentOperation[],
        attempt: string,
    ): Promise<Result<ChangeOutcome, StoreFailure>> {
        let outcome: ChangeOutcome | undefined;
        const result = await updateValue(
            this.options.store,
            CONFIGURATION_KEY,
            undefined,
            CHANGE_DEADLINE_MILLISECONDS,
            async current => {
                const latest = await this.#findLatest(current);
                if (!latest) {
                    return { kind: "wait", reason: "another member may know a configuration that the store has lost" };
                }
                const existing = latest.recent.find(change => change.attempt === attempt);
                if (existing) {
                    outcome = { kind: "stored", version: existing.version };
                    return { kind: "done" };
                }
                if (baseVersion !== undefined && latest.version !== baseVersion) {
                    const changes = latest.recent.filter(change => change.version > baseVersion);
                    outcome = { kind: "raced", version: latest.version, changes };
                    return { kind: "done" };
                }
                const version = latest.version + 1;
                outcome = { kind: "stored", version };
                const next = nextConfiguration(latest, { version, attempt, operations });
                return { kind: "write", value: { ...next, era: current.era } };
            },
        );
        if (result.isErr()) {
            return err(result.error);
        }
        this.#applyStored(result.value);
        return outcome ? ok(outcome) : ok({ kind: "stored", version: this.options.configuration.version });
    }

    /** Stops the task. */
    async close(): Promise<void> {
        await this.#task?.close();
    }

    async #follow(signal: AbortSignal): Promise<void> {
        const { store, configuration } = this.options;
        if (!this.#isWatcher() && configuration.ageMilliseconds < STALE_AFTER_MILLISECONDS) {
            return;
        }
        const value = this.#isWatcher() && this.#hasReadStore
            ? await store.watch(CONFIGURATION_KEY, this.#position, WATCH_TIMEOUT_MILLISECONDS, signal)
            : await store.read(CONFIGURATION_KEY);
        if (value.isErr()) {
            await sleep(FAILURE_PAUSE_MILLISECONDS * (0.5 + Math.random()), signal);
            return;
        }
        this.#applyStored(value.value);
        if (parseStored(value.value).version < configuration.version) {
            await this.#writeBack(value.value);
        }
    }

    /** Writes the configuration in force to a store that came back without it. A lagging read only causes a conflict. */
    async #writeBack(value: StoredValue): Promise<void> {
        const { configuration, logger, store } = this.options;
        const result = await updateValue(store, CONFIGURATION_KEY, value, CHANGE_DEADLINE_MILLISECONDS, current => {
            const stored = parseStored(current);
            return stored.version < configuration.version
                // Keeps the era of the last change: another member may know a configuration that is newer still.
                ? { kind: "write", value: { ...configuration.snapshot(), era: stored.era } }
                : { kind: "done" };
        });
        if (result.isErr()) {
            logger.warn("cannot write the configuration back", { error: result.error.message });
            return;
        }
        this.#applyStored(result.value);
    }

    /**
     * Finds the newest configuration for a change to start from. After the store came back from an older copy, two
     * documents would get one version if the first change of the era did not start from what every member knows.
     *
     * @returns The configuration, or undefined while a member that may know a newer one does not respond.
     */
    async #findLatest(current: StoredValue): Promise<StoredConfiguration | undefined> {
        const { configuration, heartbeats } = this.options;
        const stored = parseStored(current);
        if ((stored.era ?? 0) !== current.era && !await heartbeats.collectConfiguration()) {
            return undefined;
        }
        return stored.version < configuration.version ? configuration.snapshot() : stored;
    }

    #isWatcher(): boolean {
        const { membership } = this.options;
        if (!membership.isMember) {
            return true;
        }
        const ids = membership.record.members.map(instanceId);
        return selectMembers(ids, CONFIGURATION_KEY, WATCHER_COUNT).includes(membership.selfId);
    }

    #applyStored(value: StoredValue): void {
        const { configuration, membership } = this.options;
        const stored = parseStored(value);
        membership.noticeStoreEra(value.era);
        if (comparePositions(value, this.#position) > 0) {
            this.#position = positionOf(value);
        }
        this.#hasReadStore = true;
        configuration.applySnapshot(stored);
        configuration.confirmLatest(stored.version, 0);
    }
}

function parseStored(value: StoredValue): StoredConfiguration {
    if (value.revision === 0) {
        return { version: 0, document: emptyDocument(), recent: [] };
    }
    return storedConfigurationSchema.parse(value.value);
}

function nextConfiguration(stored: StoredConfiguration, change: ConfigurationChange): StoredConfiguration {
    return {
        version: change.version,
        document: applyOperations(stored.document, change.operations),
        recent: [...stored.recent, change].slice(-MAXIMUM_RECENT_CHANGES),
    };
}
