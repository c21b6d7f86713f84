import { expect, test } from "vitest";
import { RandomSource } from "../randomness/mod.ts";
import { compareWaiting } from "./compare_waiting.ts";
import { computeShareUrgency } from "./compute_share_urgency.ts";
import { FairShares } from "./fair_shares.ts";
import type { FairnessPolicy } from "./fairness_policy.ts";
import { FixedReturn } from "./fixed_return.ts";
import { FixedWait } from "./fixed_wait.ts";
import { FleetDemand } from "./fleet_demand.ts";
import { FleetOrder } from "./fleet_order.ts";
import { InstanceOrder } from "./instance_order.ts";
import type { MemoryOrder } from "./memory_order.ts";
import { NoFairness } from "./no_fairness.ts";
import type { OrganisationRate } from "./organisation_rate.ts";
import type { ServiceUrgencies } from "./service_urgencies.ts";
import { SpreadReturn } from "./spread_return.ts";
import { TargetWait } from "./target_wait.ts";
import type { TimedRequest } from "./timed_request.ts";
import { WaitEstimator } from "./wait_estimator.ts";

const STEP_MILLISECONDS = 10;
const REPORT_MILLISECONDS = 50;
const INSTANCES = 24;
const ORGANISATIONS = 8;
const ENGINE_TOKENS = 12_000;
const ENGINES = 12;
/** Time in milliseconds for which a request holds its memory. */
const HOLD_MILLISECONDS = 600;
const NEEDED_MILLISECONDS = 250;
const DEADLINE_MILLISECONDS = 14_000;
const TARGETS = [800, 1_000, 2_000];
/** What an answer in time is worth to callers, and a late one. */
const WORTH = [[20, 1.6], [10, 2.1], [5.2, 1.6]];
const SECONDS = 14;

type PolicyName = "fleet" | "former" | "first come";

interface Caller extends TimedRequest {
    firstSentAt: number;
    organisation: number;
    repeats: number;
    giveUpAt: number;
    hasWaited: boolean;
    orderUrgency: number;
    leave: ReturnType<FleetDemand["enter"]>;
}

interface Load {
    /** Requests in each second for each of the urgencies. */
    rates: (second: number) => number[];
    /** Fraction of the callers that repeat at once, several times. */
    impatient?: number;
    /** What the first organisation sends, as a multiple of what each other one does. Default: 1. */
    hotFactor?: (second: number) => number;
}

const urgencies = { rank: (_service: string, urgency: number) => urgency } as ServiceUrgencies;

class Instance {
    readonly demand = new FleetDemand();
    readonly order: MemoryOrder;
    readonly wait;
    readonly returns;
    readonly fairness: FairnessPolicy;
    waiters: Caller[] = [];

    constructor(policy: PolicyName, index: number, rates: () => OrganisationRate[]) {
        const estimator = new WaitEstimator(this.demand);
        const isFleet = policy === "fleet";
        this.order = isFleet
            ? new FleetOrder(this.demand)
            : policy === "former"
            ? new InstanceOrder()
            : { urgencyOf: () => 0, mustYield: () => false };
        this.wait = isFleet ? new TargetWait(estimator) : new FixedWait();
        this.fairness = isFleet ? new FairShares(this.demand, rates, index) : new NoFairness();
        this.returns = isFleet ? new SpreadReturn(estimator, urgencies, index) : new FixedReturn();
    }
}

/** Plays a load with one policy: callers, instances that report to each other, and the memory of engines. */
function play(policy: PolicyName, { rates, impatient = 0, hotFactor = () => 1 }: Load) {
    const random = new RandomSource(41);
    // A source of its own, so that each policy gets the same requests.
    const arrivals = new RandomSource(42);
    /** What each organisation has asked for in the last second. */
    const asked = Array.from({ length: ORGANISATIONS }, () => [] as { at: number; tokens: number; }[]);
    const listRates = () =>
        asked.map((sent, index) => ({
            name: String(index),
            weight: 1,
            askedRate: sent.reduce((sum, { tokens }) => sum + tokens, 0),
        }));
    const instances = Array.from({ length: INSTANCES }, (_, index) => new Instance(policy, index, listRates));
    const others = { asked: 0, onTime: 0 };
    const free = new Array<number>(ENGINES).fill(ENGINE_TOKENS);
    const events: { at: number; run: () => void; }[] = [];
    const tally = TARGETS.map(() => ({ asked: 0, onTime: 0, late: 0, refused: 0, worth: 0 }));
    const send = (
        from: Pick<Caller, "organisation" | "tokens" | "firstSentAt" | "repeats">,
        base: number,
        now: number,
    ) => {
        const { organisation, tokens, firstSentAt, repeats } = from;
        asked[organisation] = [...asked[organisation]!.filter(({ at }) => at > now - 1_000), { at: now, tokens }];
        const instance = random.pick(instances);
        const isBeyondShare = instance.fairness.isBeyondShare("models", String(organisation), now);
        const urgency = computeShareUrgency(base, isBeyondShare);
        const timed = {
            ...{ service: "models", urgency, tokens, since: now, late: false, answerBegun: false, receivedAt: now },
            deadline: firstSentAt + DEADLINE_MILLISECONDS,
            targetLatencyMilliseconds: TARGETS[base]!,
            neededMilliseconds: NEEDED_MILLISECONDS,
        };
        const giveUpAt = instance.wait.giveUpAt(timed);
        const leave = instance.demand.enter(timed);
        const fields = { firstSentAt, organisation, repeats, giveUpAt, hasWaited: false, orderUrgency: urgency, leave };
        instance.waiters.push({ ...timed, ...fields });
    };
    const refuse = (caller: Caller, instance: Instance, now: number) => {
        const delay = instance.returns.delayMilliseconds(caller, now);
        caller.leave("refused", now);
        const ignoresDelay = random.next() < impatient;
        if (caller.repeats >= (ignoresDelay ? 4 : 1)) {
            tally[Math.floor(caller.urgency)]!.refused++;
            return;
        }
        const at = now + (ignoresDelay ? STEP_MILLISECONDS : Math.min(delay, (caller.deadline - now) / 3));
        const from = { ...caller, repeats: caller.repeats + 1 };
        events.push({ at, run: () => send(from, Math.floor(caller.urgency), at) });
    };
    /** Grants memory, refuses, or returns that the request must wait. */
    const mustWait = (caller: Caller, instance: Instance, isBlocked: boolean, now: number): boolean => {
        if (now >= caller.giveUpAt) {
            refuse(caller, instance, now);
            return false;
        }
        const room = {
            share: 1,
            places: (tokens: number) => free.reduce((sum, engine) => sum + Math.floor(engine / tokens), 0),
        };
        const engine = free.indexOf(Math.max(...free));
        const fits = !isBlocked && free[engine]! >= caller.tokens && !instance.order.mustYield(caller, () => room, now);
        if (!fits) {
            const isHopeless = !caller.hasWaited && instance.wait.isHopeless(caller, now);
            caller.hasWaited = true;
            if (isHopeless) {
                refuse(caller, instance, now);
            }
            return !isHopeless;
        }
        caller.leave("granted", now);
        free[engine]! -= caller.tokens;
        events.push({
            at: now + HOLD_MILLISECONDS,
            run: () => {
                free[engine]! += caller.tokens;
            },
        });
        const isOnTime = now + NEEDED_MILLISECONDS <= caller.firstSentAt + TARGETS[Math.floor(caller.urgency)]!;
        tally[Math.floor(caller.urgency)]![isOnTime ? "onTime" : "late"]++;
        tally[Math.floor(caller.urgency)]!.worth += WORTH[Math.floor(caller.urgency)]![isOnTime ? 0 : 1]!;
        others.onTime += caller.organisation > 0 && isOnTime ? 1 : 0;
        return false;
    };
    for (let now = 0; now < (SECONDS + 15) * 1_000; now += STEP_MILLISECONDS) {
        const second = Math.floor(now / 1_000);
        rates(second).forEach((rate, urgency) => {
            for (let due = rate * STEP_MILLISECONDS / 1_000; second < SECONDS && due > 0; due--) {
                if (arrivals.next() < due) {
                    tally[urgency]!.asked++;
                    const drawn = arrivals.next() * (ORGANISATIONS - 1 + hotFactor(second));
                    const organisation = Math.max(0, Math.floor(drawn - hotFactor(second)) + 1);
                    others.asked += organisation > 0 ? 1 : 0;
                    send(
                        { organisation, tokens: arrivals.integer(2_000, 4_000), firstSentAt: now, repeats: 0 },
                        urgency,
                        now,
                    );
                }
            }
        });
        events.filter(({ at }) => at <= now).forEach(event => {
            events.splice(events.indexOf(event), 1);
            event.run();
        });
        const first = random.integer(0, INSTANCES - 1);
        for (const instance of [...instances.slice(first), ...instances.slice(0, first)]) {
            let isBlocked = false;
            instance.waiters.forEach(waiter => {
                waiter.late = now + NEEDED_MILLISECONDS > waiter.receivedAt + waiter.targetLatencyMilliseconds;
                waiter.orderUrgency = instance.order.urgencyOf(waiter, now);
            });
            const sorted = instance.waiters.sort(compareWaiting);
            instance.waiters = [];
            instance.waiters.push(...sorted.filter(waiter => isBlocked = mustWait(waiter, instance, isBlocked, now)));
        }
        if (now % REPORT_MILLISECONDS === 0) {
            const reports = instances.map(({ demand }, index) => ({ index, report: demand.report(now) }));
            const deliver = () =>
                instances.forEach((instance, own) =>
                    reports.filter(({ index }) => index !== own).forEach(({ index, report }) =>
                        instance.demand.recordPeer(String(index), report, now)
                    )
                );
            events.push({ at: now + REPORT_MILLISECONDS, run: deliver });
        }
    }
    return { tally, others: others.onTime / others.asked };
}

const calm = [12, 20, 28].map(rate => rate / 1.2);

test.each<[string, Load]>([
    ["burst at full memory with three urgencies over many instances", {
        rates: second => calm.map(rate => second >= 3 && second < 8 ? rate * 3 : rate),
    }],
    ["callers that repeat at once", {
        rates: second => calm.map(rate => second >= 3 && second < 8 ? rate * 2 : rate),
        impatient: 0.4,
    }],
    ["one organisation at seven times its usual", {
        rates: second => calm.map(rate => second >= 3 && second < 9 ? rate * 1.75 : rate),
        hotFactor: second => second >= 3 && second < 9 ? 7 : 1,
    }],
    ["all instances back at once", { rates: second => calm.map(rate => second === 0 ? rate * 6 : rate) }],
])("%s", (name, load) => {
    const results = (["fleet", "former", "first come"] as const).map(policy => ({ policy, ...play(policy, load) }));
    const worths = results.map(({ tally }) => tally.reduce((sum, { worth }) => sum + worth, 0));
    const rows = results.map(({ policy, tally, others }, index) =>
        `${policy} worth ${worths[index]!.toFixed(0)}, other organisations ${others.toFixed(3)} on time: `
        + tally.map(({ asked, onTime, late, refused }) => `${asked} asked ${onTime}/${late}/${refused}`).join("; ")
    );
    console.log([`${name} (on time/late/refused by urgency)`, ...rows].join("\n"));
    const [fleet, former, firstCome] = worths;
    expect(fleet).toBeGreaterThanOrEqual(former!);
    expect(fleet).toBeGreaterThanOrEqual(firstCome!);
    if (load.hotFactor) {
        expect(results[0]!.others).toBeGreaterThan(results[1]!.others);
    }
    // Callers need each kind of request to be served at least a quarter as often as all.
    const served = results[0]!.tally.map(({ asked, onTime, late }) => (onTime + late) / asked);
    expect(Math.min(...served)).toBeGreaterThan(0.25 * served.reduce((sum, part) => sum + part, 0) / served.length);
});
