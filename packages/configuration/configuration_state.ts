import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { Invariants } from "../invariants/mod.ts";
import { applyOperations } from "./apply_operations.ts";
import type { ConfigurationChange } from "./configuration_change.ts";
import type { ConfigurationDocument } from "./configuration_document.ts";
import { emptyDocument } from "./empty_document.ts";
import type { StoredConfiguration } from "./stored_configuration.ts";

type Listener = (document: ConfigurationDocument, version: number) => void;

/** Changes kept for instances that are a few versions behind. */
const RECENT_CHANGES = 64;

/**
 * The configuration in force at one instance. Its version never decreases.
 *
 * @example
 * ```ts
 * const state = new ConfigurationState(invariants);
 * state.offer({ version: 1, document: emptyDocument(), recent: [] }); // true
 * state.offer({ version: 0, document: emptyDocument(), recent: [] }); // false
 * ```
 */
export class ConfigurationState {
    #version = 0;
    #document: ConfigurationDocument = emptyDocument();
    #recent: ConfigurationChange[] = [];
    #confirmedAt = Number.NEGATIVE_INFINITY;
    readonly #listeners: Listener[] = [];

    /**
     * @param invariants Checks that no version is lower than the one before.
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

    /** Milliseconds since this version was known to be the latest; infinite if it never was. */
    get ageMilliseconds(): number {
        return monotonicMilliseconds() - this.#confirmedAt;
    }

    /**
     * Takes a configuration over if it is newer than the one in force.
     *
     * @param stored The configuration offered.
     * @returns Whether it was taken over.
     */
    applySnapshot(stored: StoredConfiguration): boolean {
        if (stored.version <= this.#version) {
            return false;
        }
        this.#install(stored.version, stored.document, stored.recent);
        return true;
    }

    /**
     * Takes over the changes that follow the version in force.
     *
     * @param changes Consecutive changes, oldest first; those already in force are passed over.
     * @returns Whether the changes reach the last one offered; false if some in between are missing.
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
     * Notes that the version in force was the latest some time ago.
     *
     * @param version Version that was the latest.
     * @param ageMilliseconds Time since then.
     */
    confirmLatest(version: number, ageMilliseconds: number): void {
        if (version === this.#version) {
            this.#confirmedAt = Math.max(this.#confirmedAt, monotonicMilliseconds() - ageMilliseconds);
        }
    }

    /**
     * Lists the changes after a version.
     *
     * @param version Version that the asking instance has.
     * @returns The changes, or undefined if some of them are no longer kept.
     */
    changesSince(version: number): ConfigurationChange[] | undefined {
        const changes = this.#recent.filter(change => change.version > version);
        return changes.length === this.#version - version ? changes : undefined;
    }

    /**
     * Returns the configuration in force in the form that the store holds.
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
        this.#recent = recent.slice(-RECENT_CHANGES);
        for (const listener of this.#listeners) {
            listener(document, version);
        }
    }
}
