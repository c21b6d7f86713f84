import { expect, test } from "vitest";
import { RandomSource } from "../randomness/mod.ts";
import { computeSchedule } from "./compute_schedule.ts";
import { encodeOutcomeKey } from "./encode_outcome_key.ts";
import { ExposureLimit } from "./exposure_limit.ts";
import { nextPhase } from "./next_phase.ts";
import { responseTimeBuckets } from "./response_time_buckets.ts";
import type { RolloutPhase } from "./rollout_phase.ts";
import { VersionJudge } from "./version_judge.ts";

const DURATION_MILLISECONDS = 12_000;
const STEP_MILLISECONDS = 50;
const JUDGED_MILLISECONDS = 250;
/** Time in milliseconds after which instances act on a phase or a count. */
const REPORT_MILLISECONDS = 300;
const INSTANCES = 20;
const EXPOSURE_SHARE = 0.1;
const EXPOSURE_SLACK = 50;
const BAD_ANSWERS = 50;
const ROLLBACK_MILLISECONDS = 5_000;

/** How a version answers: fraction of failures, and factor of the response time. */
interface Behaviour {
    failures: number;
    slowness: number;
}

interface RolloutCase {
    perSecond: number;
    answer(situation: { version: "old" | "new"; route: string; elapsed: number; share: number; }): Behaviour;
}

const WELL = { failures: 0.01, slowness: 1 };
const FAILS = { failures: 0.3, slowness: 1 };
const well: RolloutCase["answer"] = () => WELL;

/** Plays a roll-out at instances that hear of each other's counts and of phases late. */
function play({ perSecond, answer }: RolloutCase, seed: number) {
    const random = new RandomSource(seed);
    const schedule = computeSchedule(DURATION_MILLISECONDS, 1_000);
    const limits = Array.from(
        { length: INSTANCES },
        () => new ExposureLimit(random.next() + EXPOSURE_SLACK * 0.3 / INSTANCES),
    );
    const judge = new VersionJudge("1");
    const counts: Record<string, number> = {};
    const heard: Record<string, number>[] = [];
    const phases: { phase: RolloutPhase; at: number; }[] = [];
    let [requests, exposed, badAnswers, sentLate] = [0, 0, 0, 0];
    let badAt = Number.POSITIVE_INFINITY;
    let judgement = judge.judge({});
    for (let elapsed = 0; elapsed < DURATION_MILLISECONDS; elapsed += STEP_MILLISECONDS) {
        const known = phases.findLast(({ at }) => at + REPORT_MILLISECONDS <= elapsed)?.phase;
        const shares = { trial: 0.06, probe: 0.085, move: 1, completed: 1, "rolled-back": 0 };
        for (let due = perSecond * STEP_MILLISECONDS / 1_000; due > random.next(); due--) {
            const limit = limits[Math.floor(random.next() * INSTANCES)]!;
            const route = random.next() < 0.8 ? "write" : "read";
            const share = known ? shares[known] : 0;
            const isNew = share === 1 || limit.admits(route, share);
            const version = isNew ? "new" : "old";
            limit.count(route, isNew);
            requests++;
            const { failures, slowness } = answer({ version, route, elapsed, share });
            const hasFailed = random.next() < failures;
            if (isNew) {
                exposed++;
                badAnswers += hasFailed || slowness > 1 ? 1 : 0;
                badAt = badAnswers === BAD_ANSWERS ? Math.min(badAt, elapsed) : badAt;
                sentLate += elapsed > badAt + ROLLBACK_MILLISECONDS ? 1 : 0;
            }
            const bucket = hasFailed ? undefined : responseTimeBuckets.of((15 + 15 * random.next()) * slowness);
            const key = encodeOutcomeKey({ order: "1", period: Math.floor(elapsed / 10_000), route, version, bucket });
            counts[key] = (counts[key] ?? 0) + 1;
        }
        heard.push({ ...counts });
        if (elapsed % JUDGED_MILLISECONDS === 0) {
            judgement = judge.judge(heard[heard.length - 1 - REPORT_MILLISECONDS / STEP_MILLISECONDS] ?? {});
            const { phase, at = 0 } = phases.at(-1) ?? {};
            const capacity = { newCapacity: 18, oldCapacity: 18 };
            const situation = { phase, elapsed, inPhase: elapsed - at, schedule, judgement, ...capacity };
            const change = nextPhase({ ...situation, isWithdrawn: false });
            if (change) {
                phases.push({ phase: change.phase, at: elapsed });
            }
        }
    }
    const bound = EXPOSURE_SHARE * requests + EXPOSURE_SLACK;
    return { end: phases.at(-1)?.phase, endedAt: phases.at(-1)?.at, requests, exposed, bound, sentLate, judgement };
}

const onlyNew = (behaviour: Behaviour): RolloutCase["answer"] => ({ version }) => version === "new" ? behaviour : WELL;

const CASES: [string, RolloutCase, RolloutPhase][] = [
    ["good", { perSecond: 100, answer: well }, "completed"],
    ["good, few requests", { perSecond: 1, answer: well }, "completed"],
    ["good, no requests", { perSecond: 0, answer: well }, "completed"],
    ["both ill", { perSecond: 100, answer: () => FAILS }, "completed"],
    ["both slow", { perSecond: 100, answer: () => ({ failures: 0.01, slowness: 5 }) }, "completed"],
    ["bad at once", { perSecond: 100, answer: onlyNew(FAILS) }, "rolled-back"],
    ["bad at once, few requests", { perSecond: 10, answer: onlyNew({ failures: 0.6, slowness: 1 }) }, "rolled-back"],
    ["slow, not failing", { perSecond: 100, answer: onlyNew({ failures: 0.01, slowness: 5 }) }, "rolled-back"],
    [
        "bad after some seconds",
        { perSecond: 100, answer: ({ version, elapsed }) => version === "new" && elapsed > 5_000 ? FAILS : WELL },
        "rolled-back",
    ],
    [
        "bad on one route",
        { perSecond: 100, answer: ({ version, route }) => version === "new" && route === "read" ? FAILS : WELL },
        "rolled-back",
    ],
    [
        "bad under load",
        {
            perSecond: 100,
            answer: ({ version, share }) => version === "new" && share > 0.06 ? { failures: 0.5, slowness: 1 } : WELL,
        },
        "rolled-back",
    ],
];

test.each(CASES)("a version that is %s", (_name, rollout, end) => {
    for (const seed of [1, 2, 3, 4, 5, 6, 7, 8, 9, 10]) {
        const played = play(rollout, seed);
        expect({ seed, end: played.end }).toEqual({ seed, end });
        if (end === "rolled-back") {
            expect(played.exposed).toBeLessThanOrEqual(played.bound);
            expect(played.sentLate).toBe(0);
        }
    }
});

test("a bad judgement is final, and counts that are lower than before add nothing", () => {
    const key = { order: "1", period: 0, route: "read", version: "new" as const };
    const failed = encodeOutcomeKey({ ...key, bucket: undefined });
    const answered = encodeOutcomeKey({ ...key, bucket: 9 });
    const judge = new VersionJudge("1");
    expect(judge.judge({ [failed]: 1 }).verdict).toBe("good");
    expect(judge.judge({ [failed]: 0 }).badOutcomes).toBe(1);
    expect(judge.judge({ [failed]: 1 }).badOutcomes).toBe(1);
    expect(judge.judge({ [failed]: 9, [answered]: 1 }).verdict).toBe("bad");
    expect(judge.judge({ [failed]: 9, [answered]: 900 }).verdict).toBe("bad");
});

test.each([
    [0.06, 20, 3, 1],
    [0, 1_000, 0, 0],
    [1, 10, 10, 10],
])("with a share of %j, %i requests expose %i at most and %i at least", (share, requests, most, least) => {
    for (const credit of [0, 0.5, 0.999]) {
        const limit = new ExposureLimit(credit);
        for (let sent = 0; sent < requests; sent++) {
            limit.count("read", limit.admits("read", share));
        }
        expect(limit.exposed).toBeLessThanOrEqual(most);
        expect(limit.exposed).toBeGreaterThanOrEqual(least);
    }
});
