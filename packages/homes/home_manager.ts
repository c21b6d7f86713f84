import * as z from "zod";
import { monotonicMilliseconds, PeriodicTask } from "../clocks/mod.ts";
import type { ConfigurationDocument } from "../configuration/mod.ts";
import { instanceId } from "../instances/mod.ts";
import { type HomeKey, type Member, type MembershipRecord, membershipRecordSchema } from "../membership/mod.ts";
import type { HomeManagerOptions } from "./home_manager_options.ts";
import type { HomedState } from "./homed_state.ts";

const RECONCILE_MILLISECONDS = 100;
const RELEASE_TIMEOUT_MILLISECONDS = 1_000;
const HANDOVER_KEPT_MILLISECONDS = 60_000;

const keySchema = z.object({ group: z.string().max(200), index: z.int().min(0).max(64) });

const releaseSchema = z.object({ record: membershipRecordSchema, keys: z.array(keySchema).max(10_000) });

const handoverSchema = z.object({
    keys: z.array(z.object({ key: keySchema, handover: z.unknown() })).max(10_000),
});

/** Answer to `homes.release`: the epoch adopted there, and what was handed over by key. */
interface ReleaseAnswer {
    epoch: number;
    handovers: { key: HomeKey; handover: unknown; }[];
}

/** A key that is assigned to this instance. */
interface DesiredKey {
    key: HomeKey;
    state: HomedState;
}

/** A key in the course of becoming active here. */
interface PendingKey {
    key: HomeKey;
    waitingFor: Set<string>;
    handover: unknown;
}

/**
 * Makes this instance act as home of exactly the keys that the epoch assigns to it.
 *
 * A key becomes active only after each living member that may have been its home has confirmed that it has adopted
 * this epoch, which makes it drop the key. Members that left the record are proven gone.
 *
 * @example
 * ```ts
 * const homes = new Homes([shareState, serverState], options);
 * homes.start();
 * await homes.release();
 * ```
 */
export class HomeManager {
    readonly #active = new Map<string, { key: HomeKey; state: HomedState; }>();
    readonly #pending = new Map<string, PendingKey>();
    readonly #released = new Map<string, { handover: unknown; at: number; }>();
    #task: PeriodicTask | undefined;
    #releasedForGood = false;
    #pendingEpoch = 0;
    #assigned:
        | { record: MembershipRecord; document: ConfigurationDocument; keys: Map<string, DesiredKey>; }
        | undefined;

    /**
     * @param states The kinds of state.
     * @param options What the homes work with.
     */
    constructor(
        private readonly states: HomedState[],
        private readonly options: HomeManagerOptions,
    ) {
        const { server, membership } = options;
        server.handle("homes.release", releaseSchema, async ({ record, keys }) => {
            membership.adopt(record);
            return this.#collect(keys);
        });
        server.handle("homes.handover", handoverSchema, async ({ keys }) => this.#acceptHandovers(keys));
        membership.onChange(() => this.#dropForeign());
        options.configuration.onChange(() => this.#dropForeign());
    }

    /** Number of keys that this instance is the home of. */
    get activeCount(): number {
        return this.#active.size;
    }

    /** Number of keys that wait for a former home. */
    get pendingCount(): number {
        return this.#pending.size;
    }

    /** Starts to take over the keys that are assigned to this instance. */
    start(): void {
        this.#task = new PeriodicTask(RECONCILE_MILLISECONDS, () => this.#reconcile(), error => {
            this.options.logger.error("cannot reconcile homes", { error: String(error) });
        });
    }

    /**
     * Gives up every key for good, before the instance leaves.
     *
     * @returns A promise that resolves once no key is active.
     */
    async releaseAll(): Promise<void> {
        this.#releasedForGood = true;
        await this.#task?.close();
        for (const { key } of [...this.#active.values()]) {
            this.#deactivate(key);
        }
        this.#pending.clear();
    }

    /**
     * Sends what was given up to the next homes, after this instance left the record.
     *
     * @returns A promise that resolves once each next home has answered or failed to.
     */
    async sendHandovers(): Promise<void> {
        const byHome = new Map<string, { home: Member; keys: ReleaseAnswer["handovers"]; }>();
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

    /** Lists the keys assigned to this instance; the list changes only with the epoch or the configuration. */
    #desired(): Map<string, DesiredKey> {
        const { configuration, membership } = this.options;
        const { record } = membership;
        const { document } = configuration;
        if (this.#assigned?.record !== record || this.#assigned.document !== document) {
            const keys = membership.isMember
                ? this.states.flatMap(state => state.keys(document).map(key => ({ key, state })))
                : [];
            const own = keys.filter(({ key }) => this.#isHome(key));
            this.#assigned = { record, document, keys: new Map(own.map(desired => [keyId(desired.key), desired])) };
        }
        return this.#assigned.keys;
    }

    #isHome(key: HomeKey): boolean {
        const home = this.options.membership.homeOf(key);
        return home !== undefined && instanceId(home) === this.options.membership.selfId;
    }

    /** Runs synchronously when a record or configuration is adopted, before anything else acts on it. */
    #dropForeign(): void {
        const desired = this.#desired();
        for (const { key } of [...this.#active.values()]) {
            if (!desired.has(keyId(key))) {
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

    #collect(keys: HomeKey[]): ReleaseAnswer {
        const handovers: ReleaseAnswer["handovers"] = [];
        for (const key of keys) {
            const released = this.#released.get(keyId(key));
            this.#released.delete(keyId(key));
            if (released) {
                handovers.push({ key, handover: released.handover });
            }
        }
        const stillHeld = keys.some(key => this.#active.has(keyId(key)));
        // An epoch of 0 confirms nothing: a key that is active here belongs here under a newer record.
        return { epoch: stillHeld ? 0 : this.options.membership.record.epoch, handovers };
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
        if (this.#releasedForGood) {
            return;
        }
        this.#forgetOldHandovers();
        const { membership } = this.options;
        const epoch = membership.record.epoch;
        if (this.#pendingEpoch !== epoch) {
            this.#pending.clear();
            this.#pendingEpoch = epoch;
        }
        const states = this.#desired();
        for (const [id, { key }] of states) {
            if (!this.#active.has(id) && !this.#pending.has(id)) {
                const waitingFor = new Set(membership.formerHomes(key).map(instanceId));
                this.#pending.set(id, { key, waitingFor, handover: undefined });
                // Another member may have been the home in between: what this one gave up earlier no longer counts.
                this.#released.delete(id);
            }
        }
        await this.#askFormerHomes();
        if (membership.record.epoch !== epoch) {
            return;
        }
        for (const [id, pending] of [...this.#pending]) {
            const state = states.get(id)?.state;
            if (pending.waitingFor.size === 0 && state) {
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

    async #askFormerHomes(): Promise<void> {
        const { membership, pool } = this.options;
        const record = membership.record;
        const keysByMember = new Map<string, HomeKey[]>();
        for (const { key, waitingFor } of this.#pending.values()) {
            for (const id of waitingFor) {
                keysByMember.set(id, [...keysByMember.get(id) ?? [], key]);
            }
        }
        await Promise.all([...keysByMember].map(async ([id, keys]) => {
            const member = record.members.find(candidate => instanceId(candidate) === id);
            const params = { record, keys };
            const answer = await pool.call<ReleaseAnswer>(
                member,
                "homes.release",
                params,
                RELEASE_TIMEOUT_MILLISECONDS,
            );
            if (answer.isOk()) {
                this.#confirm(id, keys, record.epoch, answer.value);
            }
        }));
    }

    #confirm(memberId: string, keys: HomeKey[], epoch: number, answer: ReleaseAnswer): void {
        const { membership } = this.options;
        membership.recordAdoptedEpoch(memberId, answer.epoch);
        if (answer.epoch < epoch || membership.record.epoch !== epoch) {
            return;
        }
        const handovers = new Map(answer.handovers.map(({ key, handover }) => [keyId(key), handover]));
        for (const key of keys) {
            const pending = this.#pending.get(keyId(key));
            pending?.waitingFor.delete(memberId);
            if (pending) {
                pending.handover ??= handovers.get(keyId(key));
            }
        }
    }

    #forgetOldHandovers(): void {
        const oldest = monotonicMilliseconds() - HANDOVER_KEPT_MILLISECONDS;
        for (const [id, { at }] of this.#released) {
            if (at < oldest) {
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
