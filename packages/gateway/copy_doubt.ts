import type { EraChange, ItemReplica, StorePosition } from "../replica/mod.ts";

/** Time in milliseconds after the store's return within which operators and servers write again what its copy lacks. */
const WRITE_AGAIN_MILLISECONDS = 2_000;

/** Position before the first snapshot. */
const NOTHING_READ: StorePosition = { era: 0, revision: 0 };

/** Configuration that was read, with its position. */
interface ReadConfiguration {
    version: number;
    position: StorePosition;
    /** Version in force before; undefined if there was none. */
    versionInForce: number | undefined;
}

/**
 * Tells whether the store has come back from a copy that may lack a configuration which the operator has yet to write
 * again. Until a later one has been read, the copy confirms neither API keys nor their absence. A first snapshot whose
 * era nobody has trusted so far is doubted like a return.
 *
 * @example
 * ```ts
 * const doubt = new CopyDoubt(replica, { now: () => clock.now(), isTrustedEra: era => witness.confirms(era) });
 * doubt.isOpen; // true for some seconds after the store's return
 * ```
 */
export class CopyDoubt {
    #change: Pick<EraChange, "from" | "to"> | undefined;
    #until = Number.NEGATIVE_INFINITY;
    #confirmedBefore = Number.NEGATIVE_INFINITY;

    /**
     * @param replica The replica.
     * @param options The clock of {@linkcode ItemReplica.confirmedAt}, and whether an era was trusted before.
     */
    constructor(
        private readonly replica: ItemReplica,
        private readonly options: CopyDoubtOptions,
    ) {
        replica.onEraChange(change => {
            this.#confirmedBefore = this.confirmedAt;
            this.#begin(change);
        });
        replica.onFill(position => {
            if (!options.isTrustedEra(position.era)) {
                this.#begin({ from: NOTHING_READ, to: position });
            }
        });
    }

    /** Whether the copy may still lack a configuration. It no longer does after a read that began later than that. */
    get isOpen(): boolean {
        return this.replica.confirmedAt < this.#until;
    }

    /** Time in milliseconds from which on a read ends the doubt; undefined if there is none. */
    get endsFrom(): number | undefined {
        return this.isOpen ? this.#until : undefined;
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

    #begin(change: Pick<EraChange, "from" | "to">): void {
        this.#change = change;
        this.#until = this.options.now() + WRITE_AGAIN_MILLISECONDS;
    }
}

/** Options of a {@linkcode CopyDoubt}. */
interface CopyDoubtOptions {
    /** Returns the current time in milliseconds. */
    now(): number;
    /** Returns whether the store says that an era was trusted. */
    isTrustedEra(era: number): boolean;
}

/** A version that the replica has not read may stand in the copy, unless its position was read in another state. */
function isWrittenAfter(
    { version, position, versionInForce }: ReadConfiguration,
    { from, to }: Pick<EraChange, "from" | "to">,
): boolean {
    if (position.era !== to.era || versionInForce === undefined || version < versionInForce) {
        return false;
    }
    return version === versionInForce || position.revision <= from.revision || position.revision > to.revision;
}
