import type { RegisteredServer, RolloutOrder } from "../directory/mod.ts";
import {
    computeSchedule,
    ExposureLimit,
    type Judgement,
    phaseRank,
    type RolloutPhase,
    type RolloutSchedule,
    type RolloutState,
    VersionJudge,
} from "../rollouts/mod.ts";

/** Length in milliseconds of a period of the shared counts. */
const PERIOD_MILLISECONDS = 10_000;

/** What this instance knows and counts of the roll-out of one service. */
export class ServiceRollout {
    readonly judge: VersionJudge;
    judgement: Judgement;
    phase: RolloutPhase | undefined;
    /** Era of the store in which the phase was last known to be stored. */
    phaseEra: number | undefined;
    /** Whether the order is no longer in the store. */
    isWithdrawn = false;
    #orderedAt: number;
    #phaseAt = 0;

    /**
     * @param order The order.
     * @param refused Versions that earlier orders for the service had rolled back.
     * @param exposure Limit of this instance's requests to the new version.
     * @param now Time in milliseconds at which the order was read.
     */
    constructor(
        readonly order: RolloutOrder,
        readonly refused: ReadonlySet<string>,
        readonly exposure: ExposureLimit,
        now: number,
    ) {
        this.judge = new VersionJudge(order.id);
        this.judgement = this.judge.judge({});
        this.#orderedAt = now;
    }

    /** Whether the version gets nothing from this instance, also before the decision of the fleet has arrived. */
    get isStopped(): boolean {
        return this.phase === "rolled-back"
            || this.phase !== "completed" && (this.isWithdrawn || this.judgement.verdict === "bad");
    }

    /** Time in milliseconds since the order. */
    elapsed(now: number): number {
        return now - this.#orderedAt;
    }

    /** Time in milliseconds since the phase began. */
    inPhase(now: number): number {
        return now - this.#phaseAt;
    }

    /** Number of the period of the shared counts. */
    period(now: number): number {
        return Math.max(0, Math.floor(this.elapsed(now) / PERIOD_MILLISECONDS));
    }

    /** When the phases begin, given the time that a request to the service may take. */
    schedule(requestMilliseconds: number): RolloutSchedule {
        return computeSchedule(this.order.durationMilliseconds, requestMilliseconds);
    }

    /**
     * Takes over what the store holds, unless this instance knows of a later phase, as after the store has come back from
     * an older copy.
     *
     * @param state The state.
     * @param unixTime Present Unix time in milliseconds, by which an instance that started later knows the time since the
     *     order; undefined if this instance has seen the order arrive.
     * @param now Present time in milliseconds.
     * @param era Era in which the store holds it.
     */
    apply(state: RolloutState, unixTime: number | undefined, now: number, era: number): void {
        if (phaseRank(state.phase) <= phaseRank(this.phase)) {
            return;
        }
        const passed = unixTime === undefined
            ? 0
            : Math.min(unixTime - state.orderedAt, this.order.durationMilliseconds);
        this.#orderedAt = Math.min(this.#orderedAt, now - Math.max(passed, state.elapsedMilliseconds));
        this.phase = state.phase;
        this.phaseEra = era;
        this.#phaseAt = now;
    }

    /** Whether a server runs the version that the service moves to. */
    isNew({ softwareVersion }: RegisteredServer): boolean {
        return softwareVersion === this.order.version;
    }

    /** Whether a server runs a version that the service moves away from. */
    isOld(server: RegisteredServer): boolean {
        return !this.isNew(server) && !this.refused.has(server.softwareVersion);
    }
}
