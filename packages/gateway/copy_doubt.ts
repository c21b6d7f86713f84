import type { EraChange, ItemReplica, StorePosition } from "../replica/mod.ts";

/** Time in milliseconds after the store's return within which operators and servers write again what its copy lacks. */
const WRITE_AGAIN_MILLISECONDS = 2_000;

/** Configuration that was read, with its position. */
interface ReadConfiguration {
    version: number;
    position: StorePosition;
    /** Version in force before; undefined if there was none. */
    versionInForce: number | undefined;
}

/**
 * Tells whether the store has come back from a copy that may lack a configuration which the operator has yet to write
 * again. Until a later one has been read, the copy confirms neither API keys nor their absence.
 *
 * @example
 * ```ts
 * const doubt = new CopyDoubt(replica, () => clock.now());
 * doubt.isOpen; // true for some seconds after the store's return
 * ```
 */
export class CopyDoubt {
    #change: EraChange | undefined;
    #until = Number.NEGATIVE_INFINITY;
    #confirmedBefore = Number.NEGATIVE_INFINITY;

    /**
     * @param replica The replica.
     * @param now Returns the current time in milliseconds, on the clock of {@linkcode ItemReplica.confirmedAt}.
     */
    constructor(
        private readonly replica: ItemReplica,
        now: () => number,
    ) {
        replica.onEraChange(change => {
            this.#confirmedBefore = this.confirmedAt;
            this.#change = change;
            this.#until = now() + WRITE_AGAIN_MILLISECONDS;
        });
    }

    /** Whether the copy may still lack a configuration. It no longer does after a read that began later than that. */
    get isOpen(): boolean {
        return this.replica.confirmedAt < this.#until;
    }

    /** Start of the last read that confirmed the configuration, in milliseconds. */
    get confirmedAt(): number {
        return this.isOpen ? this.#confirmedBefore : this.replica.confirmedAt;
    }

    /**
     * Ends the doubt if a configuration has certainly been written after the store's return.
     *
     * @param configuration The configuration that was read.
     */
    observe(configuration: ReadConfiguration): void {
        if (this.#change && this.isOpen && isWrittenAfter(configuration, this.#change)) {
            this.#until = Number.NEGATIVE_INFINITY;
        }
    }
}

/** A version that the replica has not read may stand in the copy, unless its position was read in another state. */
function isWrittenAfter({ version, position, versionInForce }: ReadConfiguration, { from, to }: EraChange): boolean {
    if (position.era !== to.era || versionInForce === undefined || version < versionInForce) {
        return false;
    }
    return version === versionInForce || position.revision <= from.revision || position.revision > to.revision;
}
