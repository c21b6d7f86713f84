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
import { type StoredValue, type StoreFailure, updateValue } from "../store/mod.ts";
import type { ConfigurationFollowerOptions } from "./configuration_follower_options.ts";

const CONFIGURATION_KEY = "configuration";
const WATCHERS = 3;
const WATCH_MILLISECONDS = 2_000;
const PAUSE_MILLISECONDS = 100;
const FAILURE_PAUSE_MILLISECONDS = 400;
const STALE_MILLISECONDS = 3_000;
const CHANGE_DEADLINE_MILLISECONDS = 5_000;
const KEPT_CHANGES = 64;

/** Outcome of a change that an operator asked for. */
type ChangeOutcome = { kind: "stored"; version: number; } | {
    kind: "raced";
    version: number;
    changes: ConfigurationChange[];
};

/**
 * Follows the configuration in the store, and changes it for operators.
 *
 * A few members watch the store; the others learn of changes from their peers and read the store themselves only if
 * they hear nothing.
 *
 * @example
 * ```ts
 * const follower = new ConfigurationFollower(options);
 * follower.start();
 * await follower.change(undefined, [{ collection: "drainedDomains", name: "riga", value: { since: "" } }], "attempt-1");
 * await follower.close();
 * ```
 */
export class ConfigurationFollower {
    #task: PeriodicTask | undefined;
    #revision = 0;
    #everRead = false;

    /**
     * @param options What the follower works with.
     */
    constructor(private readonly options: ConfigurationFollowerOptions) {}

    /** Whether the store or a peer has said what the configuration is. */
    get ready(): boolean {
        return this.#everRead || this.options.configuration.version > 0;
    }

    /** Starts to follow. */
    start(): void {
        this.#task = new PeriodicTask(PAUSE_MILLISECONDS, signal => this.#follow(signal), error => {
            this.options.logger.error("cannot follow the configuration", { error: String(error) });
        });
    }

    /**
     * Changes the configuration in the store.
     *
     * @param baseVersion Version that the change was made for; any version if absent.
     * @param operations The change.
     * @param attempt Identifies the change, so that one whose answer was lost is made once.
     * @returns The version in which the change stands, or what other operators changed since the base version.
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
                const made = stored.recent.find(change => change.attempt === attempt);
                if (made) {
                    outcome = { kind: "stored", version: made.version };
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
        this.#take(result.value);
        return outcome ? ok(outcome) : ok({ kind: "stored", version: this.options.configuration.version });
    }

    /** Stops the task. */
    async close(): Promise<void> {
        await this.#task?.close();
    }

    async #follow(signal: AbortSignal): Promise<void> {
        const { store, configuration } = this.options;
        if (!this.#watches() && configuration.ageMilliseconds < STALE_MILLISECONDS) {
            return;
        }
        const value = this.#watches() && this.#everRead
            ? await store.watch(CONFIGURATION_KEY, this.#revision, WATCH_MILLISECONDS, signal)
            : await store.read(CONFIGURATION_KEY);
        if (value.isErr()) {
            await sleep(FAILURE_PAUSE_MILLISECONDS * (0.5 + Math.random()), signal);
            return;
        }
        this.#take(value.value);
    }

    #watches(): boolean {
        const { membership } = this.options;
        if (!membership.isMember) {
            return true;
        }
        const ids = membership.record.members.map(instanceId);
        return selectMembers(ids, CONFIGURATION_KEY, WATCHERS).includes(membership.selfId);
    }

    #take(value: StoredValue): void {
        const { configuration } = this.options;
        const stored = parseStored(value);
        this.#revision = value.revision;
        this.#everRead = true;
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
        recent: [...stored.recent, change].slice(-KEPT_CHANGES),
    };
}
