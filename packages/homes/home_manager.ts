import * as z from "zod";
import { monotonicMilliseconds, PeriodicTask } from "../clocks/mod.ts";
import type { ConfigurationDocument } from "../configuration/mod.ts";
import { instanceId } from "../instances/mod.ts";
import { type HomeKey, type Member, type MembershipRecord, membershipRecordSchema } from "../membership/mod.ts";
import type { HomeManagerOptions } from "./home_manager_options.ts";
import type { HomedState } from "./homed_state.ts";

const RECONCILE_INTERVAL_MILLISECONDS = 100;
const RELEASE_TIMEOUT_MILLISECONDS = 1_000;
const HANDOVER_RETENTION_MILLISECONDS = 60_000;

const keySchema = z.object({ group: z.string().max(200), index: z.int().min(0).max(64) });

const releaseSchema = z.object({ record: membershipRecordSchema, keys: z.array(keySchema).max(10_000) });

const handoverSchema = z.object({
    keys: z.array(z.object({ key: keySchema, handover: z.unknown() })).max(10_000),
});

/** Response to `homes.release`: the epoch that the former home has adopted, and the handovers of the released keys. */
interface ReleaseResponse {
    epoch: number;
    handovers: { key: HomeKey; handover: unknown; }[];
}

/** A key that the membership record assigns to this instance. */
interface AssignedKey {
    key: HomeKey;
    state: HomedState;
}

/** An assigned key that is not active yet. */
interface PendingKey {
    key: HomeKey;
    /** Ids of the former homes that have not confirmed their release yet. */
    unconfirmedHomes: Set<string>;
    handover: unknown;
}

/**
 * Makes this instance act as the home of exactly the keys that the membership record assigns to it.
 *
 * A key becomes active only after each member that may have been its home has confirmed that it has adopted this epoch
 * and thereby released the key. Members that are no longer in the record need not confirm: they left or their
 * processes have terminated.
 *
 * @example
 * ```ts
 * const homes = new HomeManager([limitShares, serverLedgers], options);
 * homes.start();
 * await homes.releaseAll();
 * ```
 */
export class HomeManager {
    readonly #active = new Map<string, { key: HomeKey; state: HomedState; }>();
    readonly #pending = new Map<string, PendingKey>();
    readonly #released = new Map<string, { handover: unknown; at: number; }>();
    #task: PeriodicTask | undefined;
    #allReleased = false;
    #pendingEpoch = 0;
    #assignment:
        | { record: MembershipRecord; document: ConfigurationDocument; keys: Map<string, AssignedKey>; }
        | undefined;

    /**
     * @param states Kinds of homed state.
     * @param options Dependencies of the manager.
     */
    constructor(
        private readonly states: HomedState[],
        private readonly options: HomeManagerOptions,
    ) {
        const { server, membership } = options;
        server.handle("homes.release", releaseSchema, async ({ record, keys }) => {
            membership.adopt(record);
            return this.#collectHandovers(keys);
        });
        server.handle("homes.handover", handoverSchema, async ({ keys }) => this.#acceptHandovers(keys));
        membership.onChange(() => this.#deactivateUnassigned());
        options.configuration.onChange(() => this.#deactivateUnassigned());
    }

    /** Number of keys that this instance is the home of. */
    get activeCount(): number {
        return this.#active.size;
    }

    /** Number of keys that wait for the confirmation of a former home. */
    get pendingCount(): number {
        return this.#pending.size;
    }

    /** Starts to activate the keys that are assigned to this instance. */
    start(): void {
        this.#task = new PeriodicTask(RECONCILE_INTERVAL_MILLISECONDS, () => this.#reconcile(), error => {
            this.options.logger.error("failed to reconcile the homed keys", { error: String(error) });
        });
    }

    /**
     * Releases every key and takes over no more. Must be called before the instance leaves the fleet.
     *
     * @returns A promise that resolves once no key is active.
     */
    async releaseAll(): Promise<void> {
        this.#allReleased = true;
        await this.#task?.close();
        for (const { key } of [...this.#active.values()]) {
            this.#deactivate(key);
        }
        this.#pending.clear();
    }

    /**
     * Sends the handovers of the released keys to their next homes. Must be called after this instance left the
     * membership record.
     *
     * @returns A promise that resolves once each next home has responded or the call has failed.
     */
    async sendHandovers(): Promise<void> {
        const byHome = new Map<string, { home: Member; keys: ReleaseResponse["handovers"]; }>();
        for (const [id, { handover }] of this.#released) {
            const key = parseKeyId(id);
            const home = this.options.membership.homeOf(key);
            if (!home) {
                continue;
            }
            const batch = byHome.get(instanceId(home)) ?? { home, keys: [] };
            batch.keys.push({ key, handover });
            byHome.set(instanceId(home), batch);
        }
        await Promise.all(
            [...byHome.values()].map(({ home, keys }) => this.options.pool.call(home, "homes.handover", { keys })),
        );
    }

    /** Stops the task. */
    async close(): Promise<void> {
        await this.#task?.close();
    }

    /** Returns the keys assigned to this instance; cached until the membership record or the configuration changes. */
    #assignedKeys(): Map<string, AssignedKey> {
        const { configuration, membership } = this.options;
        const { record } = membership;
        const { document } = configuration;
        if (this.#assignment?.record !== record || this.#assignment.document !== document) {
            const keys = membership.isMember
                ? this.states.flatMap(state => state.keys(document).map(key => ({ key, state })))
                : [];
            const own = keys.filter(({ key }) => this.#isHome(key));
            this.#assignment = {
                record,
                document,
                keys: new Map(own.map(assigned => [keyId(assigned.key), assigned])),
            };
        }
        return this.#assignment.keys;
    }

    #isHome(key: HomeKey): boolean {
        const home = this.options.membership.homeOf(key);
        return home !== undefined && instanceId(home) === this.options.membership.selfId;
    }

    /** Runs synchronously when a membership record or configuration is adopted, before anything else acts on it. */
    #deactivateUnassigned(): void {
        const assigned = this.#assignedKeys();
        for (const { key } of [...this.#active.values()]) {
            if (!assigned.has(keyId(key))) {
                this.#deactivate(key);
            }
        }
        this.#pending.clear();
    }

    #deactivate(key: HomeKey): void {
        const id = keyId(key);
        const active = this.#active.get(id);
        this.#active.delete(id);
        const handover = active?.state.deactivate(key);
        this.#released.set(id, { handover, at: monotonicMilliseconds() });
    }

    #collectHandovers(keys: HomeKey[]): ReleaseResponse {
        const handovers: ReleaseResponse["handovers"] = [];
        for (const key of keys) {
            const released = this.#released.get(keyId(key));
            this.#released.delete(keyId(key));
            if (released) {
                handovers.push({ key, handover: released.handover });
            }
        }
        const stillActive = keys.some(key => this.#active.has(keyId(key)));
        // Epoch 0 confirms nothing: a key that is still active here is assigned to this instance by a newer record.
        return { epoch: stillActive ? 0 : this.options.membership.record.epoch, handovers };
    }

    #acceptHandovers(keys: { key: HomeKey; handover?: unknown; }[]): object {
        for (const { key, handover } of keys) {
            const active = this.#active.get(keyId(key));
            const pending = this.#pending.get(keyId(key));
            if (pending) {
                pending.handover ??= handover;
            }
            else if (active) {
                active.state.activate(key, handover);
            }
        }
        return {};
    }

    async #reconcile(): Promise<void> {
        if (this.#allReleased) {
            return;
        }
        this.#removeExpiredHandovers();
        const { membership } = this.options;
        const epoch = membership.record.epoch;
        if (this.#pendingEpoch !== epoch) {
            this.#pending.clear();
            this.#pendingEpoch = epoch;
        }
        const assigned = this.#assignedKeys();
        for (const [id, { key }] of assigned) {
            if (!this.#active.has(id) && !this.#pending.has(id)) {
                const unconfirmedHomes = new Set(membership.formerHomes(key).map(instanceId));
                this.#pending.set(id, { key, unconfirmedHomes, handover: undefined });
                // Another member may have been the home in between, so an earlier handover from here is outdated.
                this.#released.delete(id);
            }
        }
        await this.#requestReleases();
        if (membership.record.epoch !== epoch) {
            return;
        }
        for (const [id, pending] of [...this.#pending]) {
            const state = assigned.get(id)?.state;
            if (pending.unconfirmedHomes.size === 0 && state) {
                this.#activate(id, pending, state);
            }
        }
    }

    #activate(id: string, pending: PendingKey, state: HomedState): void {
        this.#pending.delete(id);
        this.#active.set(id, { key: pending.key, state });
        state.activate(pending.key, pending.handover);
        const group = pending.key.group;
        this.options.metrics.increment("homes_activated_total", { kind: group.slice(0, group.indexOf("/")) });
    }

    async #requestReleases(): Promise<void> {
        const { membership, pool } = this.options;
        const record = membership.record;
        const keysByMember = new Map<string, HomeKey[]>();
        for (const { key, unconfirmedHomes } of this.#pending.values()) {
            for (const id of unconfirmedHomes) {
                keysByMember.set(id, [...keysByMember.get(id) ?? [], key]);
            }
        }
        await Promise.all([...keysByMember].map(async ([id, keys]) => {
            const member = record.members.find(candidate => instanceId(candidate) === id);
            const params = { record, keys };
            const response = await pool.call<ReleaseResponse>(
                member,
                "homes.release",
                params,
                RELEASE_TIMEOUT_MILLISECONDS,
            );
            if (response.isOk()) {
                this.#recordConfirmation(id, keys, record.epoch, response.value);
            }
        }));
    }

    #recordConfirmation(memberId: string, keys: HomeKey[], epoch: number, response: ReleaseResponse): void {
        const { membership } = this.options;
        membership.recordAdoptedEpoch(memberId, response.epoch);
        if (response.epoch < epoch || membership.record.epoch !== epoch) {
            return;
        }
        const handovers = new Map(response.handovers.map(({ key, handover }) => [keyId(key), handover]));
        for (const key of keys) {
            const pending = this.#pending.get(keyId(key));
            pending?.unconfirmedHomes.delete(memberId);
            if (pending) {
                pending.handover ??= handovers.get(keyId(key));
            }
        }
    }

    #removeExpiredHandovers(): void {
        const oldestKept = monotonicMilliseconds() - HANDOVER_RETENTION_MILLISECONDS;
        for (const [id, { at }] of this.#released) {
            if (at < oldestKept) {
                this.#released.delete(id);
            }
        }
    }
}

function keyId(key: HomeKey): string {
    return `${key.group}#${key.index}`;
}

function parseKeyId(id: string): HomeKey {
    const separator = id.lastIndexOf("#");
    return { group: id.slice(0, separator), index: Number(id.slice(separator + 1)) };
}
