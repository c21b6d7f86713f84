import * as z from "zod";
import { monotonicMilliseconds, PeriodicTask } from "../clocks/mod.ts";
import { configurationChangeSchema, storedConfigurationSchema } from "../configuration/mod.ts";
import { type CallContext, instanceId } from "../instances/mod.ts";
import { logFailure } from "../logs/mod.ts";
import { type Member, membershipRecordSchema } from "../membership/mod.ts";
import type { HeartbeatsOptions } from "./heartbeats_options.ts";

const INTERVAL_MILLISECONDS = 1_000;
const FANOUT = 4;
const CALL_TIMEOUT_MILLISECONDS = 1_000;
const MAXIMUM_AGE_MILLISECONDS = 86_400_000;

const heartbeatSchema = z.object({
    epoch: z.int().min(0),
    version: z.int().min(0),
    /** Milliseconds since the sender's configuration was last confirmed to be the latest. */
    age: z.number().min(0),
});

type Heartbeat = z.infer<typeof heartbeatSchema>;

/** Response to `configuration.since`: the changes since a version, or the whole configuration. */
const configurationResponseSchema = z.object({
    changes: z.array(configurationChangeSchema).optional(),
    whole: storedConfigurationSchema.optional(),
});

/**
 * Exchanges the epoch and the configuration version with a few random members each second, and immediately after the
 * configuration changes. Fetches the membership record or the configuration from a member that has a newer one.
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
    #lastContactAt = monotonicMilliseconds();

    /**
     * @param options Dependencies of the heartbeats.
     */
    constructor(private readonly options: HeartbeatsOptions) {
        const { server, membership, configuration, logger } = options;
        server.handle("fleet.heartbeat", heartbeatSchema, async (heartbeat, context) => {
            this.#handleHeartbeat(heartbeat, context).catch(logFailure(logger, "heartbeat cannot be handled"));
            return this.#createHeartbeat();
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
        configuration.onChange(() => {
            this.#exchangeWithRandomMembers().catch(logFailure(logger, "heartbeat exchange failed"));
        });
    }

    /** Milliseconds since the last heartbeat of another member or response to one; 0 if there is no other member. */
    get millisecondsSinceContact(): number {
        return this.options.membership.otherMembers.length === 0 ? 0 : monotonicMilliseconds() - this.#lastContactAt;
    }

    /** Starts to exchange heartbeats. */
    start(): void {
        this.#task = new PeriodicTask(INTERVAL_MILLISECONDS, () => this.#exchangeWithRandomMembers(), error => {
            this.options.logger.error("heartbeat exchange failed", { error: String(error) });
        });
    }

    /**
     * Queries every other member for its epoch and configuration version.
     *
     * @returns One row per member; without version and epoch if the member did not respond.
     */
    async queryMembers(): Promise<{ instance: string; version?: number; epoch?: number; }[]> {
        return await Promise.all(this.options.membership.otherMembers.map(async member => {
            const heartbeat = await this.#sendHeartbeat(member);
            const row = { instance: member.name };
            return heartbeat ? { ...row, version: heartbeat.version, epoch: heartbeat.epoch } : row;
        }));
    }

    /**
     * Takes over the newest configuration of the other members.
     *
     * @returns Whether none of them can know a newer one: each has responded, left or terminated.
     */
    async collectConfiguration(): Promise<boolean> {
        const { membership, configuration } = this.options;
        const members = membership.otherMembers;
        const heartbeats = await Promise.all(members.map(member => this.#sendHeartbeat(member)));
        return members.every((member, index) =>
            (heartbeats[index]?.version ?? Infinity) <= configuration.version
            || membership.hasLeftOrTerminated(instanceId(member))
        );
    }

    /** Stops the task. */
    async close(): Promise<void> {
        await this.#task?.close();
    }

    #createHeartbeat(): Heartbeat {
        const { membership, configuration } = this.options;
        const age = Math.min(MAXIMUM_AGE_MILLISECONDS, Math.round(configuration.ageMilliseconds));
        return { epoch: membership.record.epoch, version: configuration.version, age };
    }

    async #exchangeWithRandomMembers(): Promise<void> {
        const candidates = [...this.options.membership.otherMembers];
        const targets: Member[] = [];
        while (targets.length < FANOUT && candidates.length > 0) {
            targets.push(...candidates.splice(Math.floor(Math.random() * candidates.length), 1));
        }
        await Promise.all(targets.map(member => this.#sendHeartbeat(member)));
    }

    async #sendHeartbeat(member: Member): Promise<Heartbeat | undefined> {
        const { pool } = this.options;
        const response = await pool.call(member, "fleet.heartbeat", this.#createHeartbeat(), CALL_TIMEOUT_MILLISECONDS);
        const heartbeat = response.isOk() ? heartbeatSchema.safeParse(response.value) : undefined;
        if (!heartbeat?.success) {
            return undefined;
        }
        await this.#handleHeartbeat(heartbeat.data, member);
        return heartbeat.data;
    }

    async #handleHeartbeat(heartbeat: Heartbeat, sender: Pick<CallContext, "name" | "incarnation">): Promise<void> {
        const { membership, configuration } = this.options;
        this.#lastContactAt = monotonicMilliseconds();
        const id = instanceId(sender);
        membership.recordAdoptedEpoch(id, heartbeat.epoch);
        const member = membership.findMember(id);
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
        const response = await this.options.pool.call(member, "membership.record", {});
        const record = response.isOk() ? membershipRecordSchema.safeParse(response.value) : undefined;
        if (record?.success) {
            this.options.membership.adopt(record.data);
        }
    }

    async #fetchConfiguration(member: Member | undefined): Promise<void> {
        const { configuration, pool } = this.options;
        const version = configuration.version;
        const response = await pool.call(member, "configuration.since", { version });
        const parsed = response.isOk() ? configurationResponseSchema.safeParse(response.value) : undefined;
        if (!parsed?.success) {
            return;
        }
        const { changes, whole } = parsed.data;
        if (!(changes && configuration.applyChanges(changes)) && whole) {
            configuration.applySnapshot(whole);
        }
    }
}
