import { instanceId } from "../instances/mod.ts";
import type { Member } from "./member.ts";

/**
 * Members that successive reads of the platform's list lack.
 *
 * @example
 * ```ts
 * const unlisted = new UnlistedMembers(15_000);
 * unlisted.record(new Set(["127.0.0.1:7200"]), members, 0); // []
 * ```
 */
export class UnlistedMembers {
    /** Monotonic time in milliseconds of the first of these reads, by member id. */
    #since = new Map<string, number>();

    /**
     * @param lagMilliseconds Longest time in milliseconds by which the list may be out of date.
     */
    constructor(private readonly lagMilliseconds: number) {}

    /**
     * Records a read of the list.
     *
     * @param addresses Addresses that it contains.
     * @param members The members.
     * @param now Monotonic time in milliseconds.
     * @returns Members that it has lacked for longer than it can be out of date. Those that it contains again are not among
     *     them, however long ago it was read before.
     */
    record(addresses: ReadonlySet<string>, members: Member[], now: number): Member[] {
        const unlisted = members.filter(member => !addresses.has(member.address));
        this.#since = new Map(unlisted.map(member => {
            const id = instanceId(member);
            return [id, this.#since.get(id) ?? now];
        }));
        // Twice the lag: once for a delayed removal from the list and once for a delayed first listing.
        return unlisted.filter(member => now - (this.#since.get(instanceId(member)) ?? now) > 2 * this.lagMilliseconds);
    }
}
