import { instanceId } from "../instances/mod.ts";
import type { Member } from "./member.ts";
import type { Membership } from "./membership.ts";
import type { MembershipOptions } from "./membership_options.ts";
import { membershipRecordSchema } from "./membership_record_schema.ts";

/**
 * Adopts the membership records that other instances know.
 *
 * @example
 * ```ts
 * const peerRecords = new PeerRecords(membership, options);
 * await peerRecords.collect(); // true
 * ```
 */
export class PeerRecords {
    /**
     * @param membership Adopts the records.
     * @param options Dependencies of the membership.
     */
    constructor(
        private readonly membership: Membership,
        private readonly options: Pick<MembershipOptions, "pool" | "instanceList">,
    ) {}

    /**
     * Adopts the newest record of all members, of the members that this record names in turn, and of listed instances.
     *
     * @returns Whether nobody can know a newer one: the list has been read, and each instance has responded, left or
     *     terminated.
     */
    async collect(): Promise<boolean> {
        const { membership, options } = this;
        const heard = new Set<string>();
        // All members of a copy may have terminated, and later ones not.
        if (!await this.fetchFromList()) {
            return false;
        }
        while (true) {
            const members = membership.otherMembers.filter(member => this.#mustRespond(member, heard));
            if (members.length === 0) {
                return true;
            }
            const responses = await Promise.all(
                members.map(member => options.pool.call(member, "membership.record", {})),
            );
            members.forEach((member, index) => {
                if (this.#adoptResponse(responses[index]?.unwrapOr(undefined))) {
                    heard.add(instanceId(member));
                }
            });
            if (members.some(member => this.#mustRespond(member, heard))) {
                return false;
            }
        }
    }

    /**
     * Adopts the newest record of the listed instances. Without the store an instance cannot join, but it can serve callers
     * with a membership record from its peers.
     *
     * @returns Whether the list was read and each of them is a known member, has responded or has terminated.
     */
    async fetchFromList(): Promise<boolean> {
        const { membership, options } = this;
        const listed = await options.instanceList.fetch();
        if (listed.isErr()) {
            return false;
        }
        let isComplete = true;
        for (const { name, address } of listed.value) {
            if (address === membership.self.address) {
                continue;
            }
            const isKnownMember = membership.record.members.some(member =>
                member.name === name && member.address === address
            );
            if (!isKnownMember) {
                const response = await options.pool.callAddress(address, "membership.record", {});
                const isHeard = this.#adoptResponse(response.unwrapOr(undefined));
                isComplete &&= isHeard || response.isErr() && response.error.provesTermination;
            }
        }
        return isComplete;
    }

    #mustRespond(member: Member, heard: Set<string>): boolean {
        const id = instanceId(member);
        return !heard.has(id) && !this.membership.hasLeftOrTerminated(id);
    }

    #adoptResponse(response: unknown): boolean {
        const record = membershipRecordSchema.safeParse(response);
        if (record.success) {
            this.membership.adopt(record.data);
        }
        return record.success;
    }
}
