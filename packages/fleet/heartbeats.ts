import * as z from "zod";
import { monotonicMilliseconds, PeriodicTask } from "../clocks/mod.ts";
import { configurationChangeSchema, storedConfigurationSchema } from "../configuration/mod.ts";
import { type CallContext, instanceId } from "../instances/mod.ts";
import { type Member, membershipRecordSchema } from "../membership/mod.ts";
import type { HeartbeatsOptions } from "./heartbeats_options.ts";

const INTERVAL_MILLISECONDS = 1_000;
const FANOUT = 4;
const CALL_TIMEOUT_MILLISECONDS = 1_000;
const LONGEST_AGE_MILLISECONDS = 86_400_000;

const heartbeatSchema = z.object({
    epoch: z.int().min(0),
    version: z.int().min(0),
    /** Milliseconds since the sender's version was known to be the latest. */
    age: z.number().min(0),
});

type Heartbeat = z.infer<typeof heartbeatSchema>;

/** Answer to `configuration.since`: the changes that follow, or the whole configuration. */
const configurationAnswerSchema = z.object({
    changes: z.array(configurationChangeSchema).optional(),
    whole: storedConfigurationSchema.optional(),
});

/**
 * Exchanges epoch and configuration versions with a few random members each second, and at once after a change.
 *
 * @example
 * ```ts
 * const heartbeats = new Heartbeats(options);
 * heartbeats.start();
 * await heartbeats.close();
 * ```
 */
export class Heartbeats {
    #task: PeriodicTask | undefined;
    #heardAt = monotonicMilliseconds();

    /**
     * @param options What the heartbeats work with.
     */
    constructor(private readonly options: HeartbeatsOptions) {
        const { server, membership, configuration } = options;
        server.handle("fleet.heartbeat", heartbeatSchema, async (heartbeat, context) => {
            void this.#learn(heartbeat, context);
            return this.#own();
        });
        server.handle("membership.record", z.object({}), async () => membership.record);
        server.handle("membership.adopt", z.object({ record: membershipRecordSchema }), async ({ record }) => {
            membership.adopt(record);
            return {};
        });
        server.handle("configuration.since", z.object({ version: z.int().min(0) }), async ({ version }) => {
            const changes = configuration.changesSince(version);
            return changes ? { changes } : { whole: configuration.snapshot() };
        });
        configuration.onChange(() => void this.#exchange());
    }

    /** Milliseconds since another member was last heard; 0 if there is no other member. */
    get millisecondsSinceContact(): number {
        return this.options.membership.otherMembers.length === 0 ? 0 : monotonicMilliseconds() - this.#heardAt;
    }

    /** Starts to exchange heartbeats. */
    start(): void {
        this.#task = new PeriodicTask(INTERVAL_MILLISECONDS, () => this.#exchange(), error => {
            this.options.logger.error("heartbeat failed", { error: String(error) });
        });
    }

    /**
     * Asks every other member for its state.
     *
     * @returns One row a member; without a version if it did not answer.
     */
    async queryMembers(): Promise<{ instance: string; version?: number; epoch?: number; }[]> {
        return await Promise.all(this.options.membership.otherMembers.map(async member => {
            const heartbeat = await this.#beat(member);
            const row = { instance: member.name };
            return heartbeat ? { ...row, version: heartbeat.version, epoch: heartbeat.epoch } : row;
        }));
    }

    /** Stops the task. */
    async close(): Promise<void> {
        await this.#task?.close();
    }

    #own(): Heartbeat {
        const { membership, configuration } = this.options;
        const age = Math.min(LONGEST_AGE_MILLISECONDS, Math.round(configuration.ageMilliseconds));
        return { epoch: membership.record.epoch, version: configuration.version, age };
    }

    async #exchange(): Promise<void> {
        const others = [...this.options.membership.otherMembers];
        const chosen: Member[] = [];
        while (chosen.length < FANOUT && others.length > 0) {
            chosen.push(...others.splice(Math.floor(Math.random() * others.length), 1));
        }
        await Promise.all(chosen.map(member => this.#beat(member)));
    }

    async #beat(member: Member): Promise<Heartbeat | undefined> {
        const { pool } = this.options;
        const answer = await pool.call(member, "fleet.heartbeat", this.#own(), CALL_TIMEOUT_MILLISECONDS);
        const heartbeat = answer.isOk() ? heartbeatSchema.safeParse(answer.value) : undefined;
        if (!heartbeat?.success) {
            return undefined;
        }
        await this.#learn(heartbeat.data, member);
        return heartbeat.data;
    }

    async #learn(heartbeat: Heartbeat, sender: Pick<CallContext, "name" | "incarnation">): Promise<void> {
        const { membership, configuration } = this.options;
        this.#heardAt = monotonicMilliseconds();
        const id = instanceId(sender);
        membership.recordAdoptedEpoch(id, heartbeat.epoch);
        const member = membership.find(id);
        if (heartbeat.epoch > membership.record.epoch) {
            await this.#fetchRecord(member);
        }
        if (heartbeat.version > configuration.version) {
            await this.#fetchConfiguration(member);
        }
        if (heartbeat.version === configuration.version) {
            configuration.confirmLatest(heartbeat.version, heartbeat.age);
        }
    }

    async #fetchRecord(member: Member | undefined): Promise<void> {
        const answer = await this.options.pool.call(member, "membership.record", {});
        const record = answer.isOk() ? membershipRecordSchema.safeParse(answer.value) : undefined;
        if (record?.success) {
            this.options.membership.adopt(record.data);
        }
    }

    async #fetchConfiguration(member: Member | undefined): Promise<void> {
        const { configuration, pool } = this.options;
        const version = configuration.version;
        const answer = await pool.call(member, "configuration.since", { version });
        const parsed = answer.isOk() ? configurationAnswerSchema.safeParse(answer.value) : undefined;
        if (!parsed?.success) {
            return;
        }
        const { changes, whole } = parsed.data;
        if (!(changes && configuration.applyChanges(changes)) && whole) {
            configuration.applySnapshot(whole);
        }
    }
}
