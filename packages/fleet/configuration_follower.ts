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
import { positionOf, type StorePosition } from "../replica/mod.ts";
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
            current => {
                const stored = parseStored(current);
                const existing = stored.recent.find(change => change.attempt === attempt);
                if (existing) {
                    outcome = { kind: "stored", version: existing.version };
                    return { kind: "done" };
                }
                if (baseVersion !== undefined && stored.version !== baseVersion) {
                    const changes = stored.recent.filter(change => change.version > baseVersion);
                    outcome = { kind: "raced", version: stored.version, changes };
                    return { kind: "done" };
                }
                const version = stored.version + 1;
                outcome = { kind: "stored", version };
                return { kind: "write", value: nextConfiguration(stored, { version, attempt, operations }) };
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
        const { configuration } = this.options;
        const stored = parseStored(value);
        this.#position = positionOf(value);
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
