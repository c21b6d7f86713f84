import { monotonicMilliseconds, PeriodicTask } from "../clocks/mod.ts";
import { instanceId } from "../instances/mod.ts";
import { type StoredValue, updateValue } from "../store/mod.ts";
import { PeerRecords } from "./_peer_records.ts";
import { UnlistedMembers } from "./_unlisted_members.ts";
import type { HomeKey } from "./home_key.ts";
import type { Member } from "./member.ts";
import type { MembershipOptions } from "./membership_options.ts";
import type { MembershipRecord } from "./membership_record.ts";
import { membershipRecordSchema } from "./membership_record_schema.ts";
import { selectMembers } from "./select_members.ts";
import { trimHistory } from "./trim_history.ts";

const EPOCH_KEY = "epoch";
const CHANGE_DEADLINE_MILLISECONDS = 5_000;
const MAINTAIN_INTERVAL_MILLISECONDS = 250;
const LIST_CHECK_INTERVAL_MILLISECONDS = 5_000;
const DEFAULT_LIST_LAG_MILLISECONDS = 15_000;
const EMPTY_RECORD: MembershipRecord = { epoch: 0, members: [], history: [] };

type Listener = (record: MembershipRecord) => void;

/**
 * This instance's view of the fleet.
 *
 * A member is removed from the membership record only by itself or on proof that its process has terminated, never
 * because it fails to respond, so that no two members are the home of a key at the same time.
 *
 * @example
 * ```ts
 * const membership = new Membership(self, options);
 * membership.start();
 * membership.homeOf({ group: "server/decode-1", index: 0 });
 * await membership.close();
 * ```
 */
export class Membership {
    #record: MembershipRecord = EMPTY_RECORD;
    #memberIds: string[] = [];
    /** Latest epoch that each other member is known to have adopted, by member id. */
    readonly #adoptedEpochs = new Map<string, number>();
    readonly #homeIdsByGroup = new Map<string, string[]>();
    readonly #listeners: Listener[] = [];
    readonly #terminated = new Set<string>();
    readonly #unlistedMembers: UnlistedMembers;
    #maintainTask: PeriodicTask | undefined;
    #listCheckTask: PeriodicTask | undefined;
    #leaving = false;
    /** Latest era of the store that was noticed, and the latest one in which its record was compared with this one. */
    #storeEra = 0;
    #comparedEra = 0;
    readonly #peerRecords: PeerRecords;

    /**
     * @param self This instance as a member.
     * @param options Dependencies of the membership.
     */
    constructor(
        readonly self: Member,
        private readonly options: MembershipOptions,
    ) {
        this.#peerRecords = new PeerRecords(this, options);
        this.#unlistedMembers = new UnlistedMembers(options.listLagMilliseconds ?? DEFAULT_LIST_LAG_MILLISECONDS);
        options.pool.onTermination((target, failure) => this.#markTerminated(target, failure.message));
    }

    /** The membership record that this instance has adopted. */
    get record(): MembershipRecord {
        return this.#record;
    }

    /** Id of this instance. */
    get selfId(): string {
        return instanceId(this.self);
    }

    /** Members other than this instance. */
    get otherMembers(): Member[] {
        return this.#record.members.filter(member => instanceId(member) !== this.selfId);
    }

    /** Whether this instance is a member. */
    get isMember(): boolean {
        return this.#record.members.some(member => instanceId(member) === this.selfId);
    }

    /** Starts to join the fleet and to check the platform's list. The port for instances must already be open. */
    start(): void {
        const onError = (error: unknown) =>
            this.options.logger.error("membership task failed", { error: String(error) });
        this.#maintainTask = new PeriodicTask(MAINTAIN_INTERVAL_MILLISECONDS, () => this.#maintain(), onError);
        this.#listCheckTask = new PeriodicTask(
            LIST_CHECK_INTERVAL_MILLISECONDS,
            () => this.#checkInstanceList(),
            onError,
        );
    }

    /**
     * Registers a function that is called with each newly adopted membership record.
     *
     * @param listener The function; it runs before anything else acts on the record.
     */
    onChange(listener: Listener): void {
        this.#listeners.push(listener);
    }

    /**
     * Adopts a membership record if it is newer than the adopted one.
     *
     * @param record The record.
     */
    adopt(record: MembershipRecord): void {
        if (record.epoch <= this.#record.epoch) {
            return;
        }
        this.options.invariants.check("epoch-never-decreases", record.epoch > this.#record.epoch);
        this.#record = record;
        this.#homeIdsByGroup.clear();
        this.#memberIds = record.members.map(instanceId);
        const ids = new Set(this.#memberIds);
        for (const byMember of [this.#adoptedEpochs, this.#terminated]) {
            for (const id of byMember.keys()) {
                if (!ids.has(id)) {
                    byMember.delete(id);
                }
            }
        }
        this.options.pool.retain(ids);
        for (const listener of this.#listeners) {
            listener(record);
        }
    }

    /**
     * Notices an era of the store. In a new one, the record that this instance knows is written again if it is lost.
     *
     * @param era The era.
     */
    noticeStoreEra(era: number): void {
        this.#storeEra = Math.max(this.#storeEra, era);
    }

    /**
     * Records which epoch another member has adopted.
     *
     * @param id Id of the member.
     * @param epoch The epoch.
     */
    recordAdoptedEpoch(id: string, epoch: number): void {
        this.#adoptedEpochs.set(id, Math.max(epoch, this.#adoptedEpochs.get(id) ?? 0));
    }

    /**
     * Finds the home of a key in the adopted membership record.
     *
     * @param key The key.
     * @returns The member, or undefined if there is none.
     */
    homeOf(key: HomeKey): Member | undefined {
        const id = this.#homeIds(key.group, key.index + 1)[key.index];
        return this.#record.members.find(member => instanceId(member) === id);
    }

    /**
     * Lists the members that may still act as the home of a key because they act on an earlier epoch.
     *
     * @param key The key.
     * @returns Members other than this one. Those no longer in the record have left or terminated and are not listed.
     */
    formerHomes(key: HomeKey): Member[] {
        const ids = new Set<string>();
        for (const { members } of this.#record.history) {
            const id = selectMembers(members, key.group, key.index + 1)[key.index];
            if (id !== undefined && id !== this.selfId) {
                ids.add(id);
            }
        }
        return this.#record.members.filter(member => ids.has(instanceId(member)));
    }

    /**
     * Finds a member.
     *
     * @param id Id of the member.
     * @returns The member, or undefined if it is not in the membership record or has terminated.
     */
    findMember(id: string): Member | undefined {
        return this.#terminated.has(id) ? undefined : this.#record.members.find(member => instanceId(member) === id);
    }

    /**
     * Returns whether an instance is known to have left the fleet or to have terminated.
     *
     * @param id Id of an instance that was a member.
     * @returns Whether it is no longer a member or its process has terminated.
     */
    hasLeftOrTerminated(id: string): boolean {
        return this.#record.epoch > 0 && this.findMember(id) === undefined && id !== this.selfId;
    }

    /**
     * Leaves the fleet. All keys that this instance is the home of must have been released before.
     *
     * @returns Whether the membership record no longer lists this instance.
     */
    async leave(): Promise<boolean> {
        this.#leaving = true;
        await this.#maintainTask?.close();
        return await this.#change(members => members.filter(member => instanceId(member) !== this.selfId));
    }

    /**
     * Stops the tasks.
     *
     * @returns A promise that resolves once no task runs.
     */
    async close(): Promise<void> {
        this.#leaving = true;
        await Promise.all([this.#maintainTask?.close(), this.#listCheckTask?.close()]);
    }

    #homeIds(group: string, count: number): string[] {
        let homes = this.#homeIdsByGroup.get(group);
        if (!homes || homes.length < count) {
            homes = selectMembers(this.#memberIds, group, count);
            this.#homeIdsByGroup.set(group, homes);
        }
        return homes;
    }

    async #maintain(): Promise<void> {
        if (!this.isMember && !this.#leaving) {
            await this.#join();
        }
        const terminated = this.#record.members.map(instanceId).filter(id => this.#terminated.has(id));
        if (terminated.length > 0 && this.isMember) {
            await this.#remove(terminated);
        }
        if (this.#storeEra > this.#comparedEra && this.isMember && !this.#leaving) {
            await this.#change(members => members);
        }
    }

    async #join(): Promise<void> {
        // This process listens on the address, so any other member with the same address has terminated.
        const joined = await this.#change(members =>
            members.some(member => instanceId(member) === this.selfId)
                ? members
                : [...members.filter(member => member.address !== this.self.address), this.self]
        );
        if (joined) {
            this.options.logger.info("joined the fleet", { epoch: this.#record.epoch });
        }
        else {
            await this.#peerRecords.fetchFromList();
        }
    }

    #markTerminated(target: { name: string; incarnation: string; }, cause: string): void {
        const id = instanceId(target);
        if (this.#terminated.has(id) || !this.#record.members.some(member => instanceId(member) === id)) {
            return;
        }
        this.#terminated.add(id);
        this.options.logger.warn("member process has terminated", { gone: id, cause });
    }

    async #remove(ids: string[]): Promise<void> {
        const removed = await this.#change(members => members.filter(member => !ids.includes(instanceId(member))));
        if (removed) {
            this.options.metrics.increment("members_removed_total", {}, ids.length);
        }
    }

    async #checkInstanceList(): Promise<void> {
        const listed = await this.options.instanceList.fetch();
        if (listed.isErr()) {
            return;
        }
        const addresses = new Set(listed.value.map(instance => instance.address));
        for (const member of this.#unlistedMembers.record(addresses, this.otherMembers, monotonicMilliseconds())) {
            this.#markTerminated(member, "the platform's list lacks it");
        }
    }

    async #change(update: (members: Member[]) => Member[]): Promise<boolean> {
        const result = await updateValue(
            this.options.store,
            EPOCH_KEY,
            undefined,
            CHANGE_DEADLINE_MILLISECONDS,
            current => this.#createNextRecord(current, update),
        );
        if (result.isErr()) {
            this.options.logger.warn("cannot change the membership record", { error: result.error.message });
            return false;
        }
        this.adopt(membershipRecordSchema.parse(result.value.value));
        this.#comparedEra = Math.max(this.#comparedEra, result.value.era);
        this.options.metrics.increment("epoch_changes_total");
        await this.#broadcastRecord();
        return true;
    }

    async #createNextRecord(
        current: StoredValue,
        update: (members: Member[]) => Member[],
    ): Promise<{ kind: "write"; value: MembershipRecord; } | { kind: "done"; } | { kind: "wait"; reason: string; }> {
        const stored = current.revision === 0 ? EMPTY_RECORD : membershipRecordSchema.parse(current.value);
        // Adopted before the history is trimmed, so that earlier epochs need not be kept for this instance.
        this.adopt(stored);
        if ((stored.era ?? 0) !== current.era && !await this.#peerRecords.collect()) {
            return { kind: "wait", reason: "another member may know a record that the store has lost" };
        }
        const record = this.#record;
        const members = update(record.members);
        const unchanged = members.length === record.members.length
            && members.every((member, index) => member === record.members[index]);
        if (unchanged && record.epoch <= stored.epoch) {
            return { kind: "done" };
        }
        const entry = { epoch: record.epoch, members: record.members.map(instanceId) };
        const adopted = members.map(member => this.#adoptedEpochOf(instanceId(member)));
        const history = trimHistory([...record.history, entry], adopted);
        return { kind: "write", value: { epoch: record.epoch + 1, members, history, era: current.era } };
    }

    #adoptedEpochOf(id: string): number | undefined {
        return id === this.selfId ? this.#record.epoch : this.#adoptedEpochs.get(id);
    }

    async #broadcastRecord(): Promise<void> {
        const record = this.#record;
        await Promise.all(
            this.otherMembers.map(member => this.options.pool.call(member, "membership.adopt", { record })),
        );
    }
}
