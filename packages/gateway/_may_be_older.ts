import type { KnownLimit } from "./_known_limit.ts";

/**
 * Whether a peer's notice of a limit may be older than what the server has said to this instance, which confirms or has
 * ended that limit.
 *
 * @param known What the server has said last.
 * @param perSecond The limit in the notice; undefined if it says that there is none.
 * @param earliest Earliest time in milliseconds at which the server may have said what is in the notice.
 */
export function mayBeOlder(known: KnownLimit, perSecond: number | undefined, earliest: number): boolean {
    const isConfirmedOrEnded = known.perSecond === perSecond || known.perSecond === undefined;
    return known.firsthand && perSecond !== undefined && isConfirmedOrEnded && earliest <= known.at;
}
