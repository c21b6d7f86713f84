import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { Invariants } from "../invariants/mod.ts";
import { applyOperations } from "./apply_operations.ts";
import type { ConfigurationChange } from "./configuration_change.ts";
import type { ConfigurationDocument } from "./configuration_document.ts";
import { emptyDocument } from "./empty_document.ts";
import type { StoredConfiguration } from "./stored_configuration.ts";

type Listener = (document: ConfigurationDocument, version: number) => void;

/** Maximum number of recent changes retained for instances that are a few versions behind. */
const MAXIMUM_RECENT_CHANGES = 64;

/**
 * The configuration in force at one instance. Its version never decreases.
 *
 * @example
 * ```ts
 * const state = new ConfigurationState(invariants);
 * state.applySnapshot({ version: 1, document: emptyDocument(), recent: [] }); // true
 * state.applySnapshot({ version: 0, document: emptyDocument(), recent: [] }); // false
 * ```
 */
export class ConfigurationState {
    #version = 0;
    #document: ConfigurationDocument = emptyDocument();
    #recent: ConfigurationChange[] = [];
    #confirmedAt = Number.NEGATIVE_INFINITY;
    readonly #listeners: Listener[] = [];

    /**
     * @param invariants Checks that the version never decreases.
     */
    constructor(private readonly invariants: Invariants) {}

    /** Version in force. */
    get version(): number {
        return this.#version;
    }

    /** Document in force. */
    get document(): ConfigurationDocument {
        return this.#document;
    }

    /** Milliseconds since this version was last confirmed as the latest; infinite if it never was. */
    get ageMilliseconds(): number {
        return monotonicMilliseconds() - this.#confirmedAt;
    }

    /**
     * Puts a configuration in force if it is newer than the current one.
     *
     * @param stored The configuration.
     * @returns Whether it was newer.
     */
    applySnapshot(stored: StoredConfiguration): boolean {
        if (stored.version <= this.#version) {
            return false;
        }
        this.#install(stored.version, stored.document, stored.recent);
        return true;
    }

    /**
     * Applies the changes that follow the version in force.
     *
     * @param changes Consecutive changes, oldest first; those already in force are skipped.
     * @returns Whether the last given change is now in force; false if changes in between are missing.
     */
    applyChanges(changes: ConfigurationChange[]): boolean {
        for (const change of changes) {
            if (change.version <= this.#version) {
                continue;
            }
            if (change.version !== this.#version + 1) {
                return false;
            }
            const document = applyOperations(this.#document, change.operations);
            this.#install(change.version, document, [...this.#recent, change]);
        }
        return true;
    }

    /**
     * Records when a version was last known to be the latest; ignored unless it is the version in force.
     *
     * @param version The version.
     * @param ageMilliseconds Milliseconds since it was known to be the latest.
     */
    confirmLatest(version: number, ageMilliseconds: number): void {
        if (version === this.#version) {
            this.#confirmedAt = Math.max(this.#confirmedAt, monotonicMilliseconds() - ageMilliseconds);
        }
    }

    /**
     * Lists the changes after a version.
     *
     * @param version Version of the requesting instance.
     * @returns The changes, or undefined if some of them are no longer retained.
     */
    changesSince(version: number): ConfigurationChange[] | undefined {
        const changes = this.#recent.filter(change => change.version > version);
        return changes.length === this.#version - version ? changes : undefined;
    }

    /**
     * Returns the configuration in force in its stored form.
     *
     * @returns The configuration.
     */
    snapshot(): StoredConfiguration {
        return { version: this.#version, document: this.#document, recent: this.#recent };
    }

    /**
     * Registers a function that is called after each new version.
     *
     * @param listener The function.
     */
    onChange(listener: Listener): void {
        this.#listeners.push(listener);
    }

    #install(version: number, document: ConfigurationDocument, recent: ConfigurationChange[]): void {
        this.invariants.check("configuration-version-never-decreases", version > this.#version, {
            version,
            inForce: this.#version,
        });
        this.#version = version;
        this.#document = document;
        this.#recent = recent.slice(-MAXIMUM_RECENT_CHANGES);
        for (const listener of this.#listeners) {
            listener(document, version);
        }
    }
}
