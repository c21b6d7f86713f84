import { monotonicMilliseconds, PeriodicTask } from "../clocks/mod.ts";
import { instanceId } from "../instances/mod.ts";
import { type StoredValue, updateValue } from "../store/mod.ts";
import type { HomeKey } from "./home_key.ts";
import type { Member } from "./member.ts";
import type { MembershipOptions } from "./membership_options.ts";
import type { MembershipRecord } from "./membership_record.ts";
import { membershipRecordSchema } from "./membership_record_schema.ts";
import { selectMembers } from "./select_members.ts";
import { trimHistory } from "./trim_history.ts";

const EPOCH_KEY = "epoch";
const CHANGE_DEADLINE_MILLISECONDS = 5_000;
const MAINTAIN_MILLISECONDS = 250;
const LIST_CHECK_MILLISECONDS = 5_000;
const DEFAULT_LIST_LAG_MILLISECONDS = 15_000;
const EMPTY_RECORD: MembershipRecord = { epoch: 0, members: [], history: [] };

type Listener = (record: MembershipRecord) => void;

/**
 * This instance's view of the fleet.
 *
 * A member leaves the record only by itself or on proof that its process no longer exists, never by time-out, so that
 * no two members are the home of one key at a time.
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
    readonly #adoptedEpochs = new Map<string, number>();
    readonly #homes = new Map<string, string[]>();
    readonly #listeners: Listener[] = [];
    readonly #dead = new Set<string>();
    readonly #lastListedAt = new Map<string, number>();
    #maintainTask: PeriodicTask | undefined;
    #listTask: PeriodicTask | undefined;
    #leaving = false;

    /**
     * @param self This instance as a member.
     * @param options What the membership works with.
     */
    constructor(
        readonly self: Member,
        private readonly options: MembershipOptions,
    ) {
        options.pool.onTermination(target => this.#noteDeath(target));
    }

    /** The record in force here. */
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

    /** Starts to join and to watch the platform's list. The port for instances must already be open. */
    start(): void {
        const onError = (error: unknown) => this.options.logger.error("membership failed", { error: String(error) });
        this.#maintainTask = new PeriodicTask(MAINTAIN_MILLISECONDS, () => this.#maintain(), onError);
        this.#listTask = new PeriodicTask(LIST_CHECK_MILLISECONDS, () => this.#checkList(), onError);
    }

    /**
     * Registers a function that is called after each newly adopted record.
     *
     * @param listener The function; it runs before anything else acts on the record.
     */
    onChange(listener: Listener): void {
        this.#listeners.push(listener);
    }

    /**
     * Adopts a record if it is newer than the one in force.
     *
     * @param record The record offered.
     */
    adopt(record: MembershipRecord): void {
        if (record.epoch <= this.#record.epoch) {
            return;
        }
        this.options.invariants.check("epoch-never-decreases", record.epoch > this.#record.epoch);
        this.#record = record;
        this.#homes.clear();
        this.#memberIds = record.members.map(instanceId);
        const ids = new Set(this.#memberIds);
        for (const known of [this.#adoptedEpochs, this.#lastListedAt, this.#dead]) {
            for (const id of known.keys()) {
                if (!ids.has(id)) {
                    known.delete(id);
                }
            }
        }
        this.options.pool.retain(ids);
        for (const listener of this.#listeners) {
            listener(record);
        }
    }

    /**
     * Notes which epoch another member has adopted.
     *
     * @param id Id of the member.
     * @param epoch The epoch.
     */
    recordAdoptedEpoch(id: string, epoch: number): void {
        this.#adoptedEpochs.set(id, Math.max(epoch, this.#adoptedEpochs.get(id) ?? 0));
    }

    /**
     * Finds the home of a key in the epoch in force.
     *
     * @param key The key.
     * @returns The member, or undefined if there is none.
     */
    homeOf(key: HomeKey): Member | undefined {
        const id = this.#homeIds(key.group, key.index + 1)[key.index];
        return this.#record.members.find(member => instanceId(member) === id);
    }

    /**
     * Lists the members that may still act as home of a key because of a preceding epoch.
     *
     * @param key The key.
     * @returns Living members other than this one; members that left the record are proven gone.
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
     * @returns The member, or undefined if it is not part of this epoch or proven dead.
     */
    find(id: string): Member | undefined {
        return this.#dead.has(id) ? undefined : this.#record.members.find(member => instanceId(member) === id);
    }

    /**
     * Tells whether a process is known to exist no longer.
     *
     * @param id Id of an instance that was a member.
     * @returns Whether it left or is proven dead.
     */
    isGone(id: string): boolean {
        return this.#record.epoch > 0 && this.find(id) === undefined && id !== this.selfId;
    }

    /**
     * Leaves the fleet. Everything that this instance is the home of must have been given up before.
     *
     * @returns Whether the record no longer lists this instance.
     */
    async leave(): Promise<boolean> {
        this.#leaving = true;
        await this.#maintainTask?.close();
        return await this.#change(members => members.filter(member => instanceId(member) !== this.selfId));
    }

    /**
     * Stops the tasks.
     *
     * @returns A promise that resolves once nothing runs.
     */
    async close(): Promise<void> {
        this.#leaving = true;
        await Promise.all([this.#maintainTask?.close(), this.#listTask?.close()]);
    }

    #homeIds(group: string, count: number): string[] {
        let homes = this.#homes.get(group);
        if (!homes || homes.length < count) {
            homes = selectMembers(this.#memberIds, group, count);
            this.#homes.set(group, homes);
        }
        return homes;
    }

    async #maintain(): Promise<void> {
        if (!this.isMember && !this.#leaving) {
            await this.#join();
        }
        const gone = this.#record.members.map(instanceId).filter(id => this.#dead.has(id));
        if (gone.length > 0 && this.isMember) {
            await this.#remove(gone);
        }
    }

    async #join(): Promise<void> {
        // The port is ours, so whoever used the address before has exited.
        const joined = await this.#change(members =>
            members.some(member => instanceId(member) === this.selfId)
                ? members
                : [...members.filter(member => member.address !== this.self.address), this.self]
        );
        if (joined) {
            this.options.logger.info("joined the fleet", { epoch: this.#record.epoch });
        }
        else {
            await this.#learnFromPeers();
        }
    }

    /** Without the store an instance cannot join, but it can serve callers with the record of its peers. */
    async #learnFromPeers(): Promise<void> {
        const listed = await this.options.instanceList.fetch();
        if (listed.isErr()) {
            return;
        }
        for (const { name, address } of listed.value) {
            if (address === this.self.address) {
                continue;
            }
            const target = this.#record.members.find(member => member.name === name && member.address === address);
            if (!target) {
                await this.#fetchRecord(address);
            }
        }
    }

    async #fetchRecord(address: string): Promise<void> {
        const answer = await this.options.pool.callAddress(address, "membership.record", {});
        const record = answer.isOk() ? membershipRecordSchema.safeParse(answer.value) : undefined;
        if (record?.success) {
            this.adopt(record.data);
        }
    }

    #noteDeath(target: { name: string; incarnation: string; }): void {
        const id = instanceId(target);
        if (this.#dead.has(id) || !this.#record.members.some(member => instanceId(member) === id)) {
            return;
        }
        this.#dead.add(id);
        this.options.logger.warn("instance is gone", { gone: id });
    }

    async #remove(gone: string[]): Promise<void> {
        const removed = await this.#change(members => members.filter(member => !gone.includes(instanceId(member))));
        if (removed) {
            this.options.metrics.increment("members_removed_total", {}, gone.length);
        }
    }

    async #checkList(): Promise<void> {
        const listed = await this.options.instanceList.fetch();
        if (listed.isErr()) {
            return;
        }
        const now = monotonicMilliseconds();
        const addresses = new Set(listed.value.map(instance => instance.address));
        const lag = this.options.listLagMilliseconds ?? DEFAULT_LIST_LAG_MILLISECONDS;
        for (const member of this.otherMembers) {
            const id = instanceId(member);
            const lastListedAt = this.#lastListedAt.get(id) ?? now;
            this.#lastListedAt.set(id, addresses.has(member.address) ? now : lastListedAt);
            // Missing for longer than the lag counted twice: once for the removal and once for a late first listing.
            if (now - lastListedAt > 2 * lag) {
                this.#noteDeath(member);
            }
        }
    }

    async #change(update: (members: Member[]) => Member[]): Promise<boolean> {
        const result = await updateValue(
            this.options.store,
            EPOCH_KEY,
            undefined,
            CHANGE_DEADLINE_MILLISECONDS,
            current => this.#nextRecord(current, update),
        );
        if (result.isErr()) {
            this.options.logger.warn("cannot change the epoch", { error: result.error.message });
            return false;
        }
        this.adopt(membershipRecordSchema.parse(result.value.value));
        this.options.metrics.increment("epoch_changes_total");
        await this.#spread();
        return true;
    }

    #nextRecord(
        current: StoredValue,
        update: (members: Member[]) => Member[],
    ): { kind: "write"; value: MembershipRecord; } | { kind: "done"; } {
        const record = current.revision === 0 ? EMPTY_RECORD : membershipRecordSchema.parse(current.value);
        // Once adopted here, the record's epoch may be trimmed from the history on behalf of this instance.
        this.adopt(record);
        const members = update(record.members);
        const unchanged = members.length === record.members.length
            && members.every((member, index) => member === record.members[index]);
        if (unchanged) {
            return { kind: "done" };
        }
        const entry = { epoch: record.epoch, members: record.members.map(instanceId) };
        const adopted = members.map(member => this.#adoptedBy(instanceId(member)));
        const history = trimHistory([...record.history, entry], adopted);
        return { kind: "write", value: { epoch: record.epoch + 1, members, history } };
    }

    #adoptedBy(id: string): number | undefined {
        return id === this.selfId ? this.#record.epoch : this.#adoptedEpochs.get(id);
    }

    async #spread(): Promise<void> {
        const record = this.#record;
        await Promise.all(
            this.otherMembers.map(member => this.options.pool.call(member, "membership.adopt", { record })),
        );
    }
}
