import { afterEach, beforeEach, expect, test, vi } from "vitest";
import type { RegisteredServer } from "../directory/mod.ts";
import { RandomSource } from "../randomness/mod.ts";
import { EngineChooser } from "./engine_chooser.ts";
import { EngineSpeeds } from "./engine_speeds.ts";
import { speedReportSchema } from "./speed_report_schema.ts";

const TOKENS_PER_MILLISECOND = 25;
const PROMPT_TOKENS = 3_200;
const ENGINES = 6;
const INSTANCES = 4;
const REPORT_MILLISECONDS = 100;

beforeEach(() => {
    vi.useFakeTimers();
    vi.advanceTimersByTime(1_000_000);
});

afterEach(() => {
    vi.useRealTimers();
});

function createEngine(index: number, startedAt = 1): RegisteredServer {
    return { id: `engine-${index}`, startedAt, service: "models", stage: "prefill" } as RegisteredServer;
}

/** Instances of one cell that know the same engines. */
class Cell {
    readonly servers = new Map(Array.from({ length: ENGINES }, (_, index) => [`engine-${index}`, createEngine(index)]));
    readonly cold = new Set<string>();
    readonly instances = Array.from({ length: INSTANCES }, () => {
        const factors = new Map<string, number>();
        const directory = { servers: this.servers, isCold: (id: string) => this.cold.has(id) };
        const logger = { info: () => {}, warn: () => {}, error: () => {} };
        return { factors, speeds: new EngineSpeeds(directory, (id, factor) => factors.set(id, factor), logger) };
    });

    exchange(): void {
        const reports = this.instances.map(({ speeds }) => speeds.report());
        this.instances.forEach(({ speeds }, receiver) => {
            reports.forEach((report, sender) => {
                if (sender !== receiver) {
                    speeds.applyReport(`instance-${sender}`, report && speedReportSchema.parse(report));
                }
            });
        });
    }

    factorsOf(instance: number): number[] {
        return [...this.servers.keys()].map(id => this.instances[instance]?.factors.get(id) ?? 1);
    }
}

interface Load {
    name: string;
    /** Speed of an engine as a factor, at a time in milliseconds. */
    speed: (engine: number, now: number) => number;
    /** Fraction of the engines' nominal capacity that is asked for, at a time in milliseconds. */
    demand: (now: number) => number;
}

/** Plays a minute of prompts; returns the mean time in milliseconds to a computed prompt, and the final factors. */
function play({ speed, demand }: Load, learns: boolean): { mean: number; factors: number[]; } {
    const cell = new Cell();
    const source = new RandomSource(7);
    const random = () => source.next();
    const chooser = new EngineChooser(random);
    const engines = [...cell.servers.values()].map(server => ({ server, freeAt: 0, queued: [] as number[] }));
    const ended: { at: number; run: () => void; }[] = [];
    const times: number[] = [];
    let reportAt = 0;
    for (let now = 0; now < 60_000;) {
        const nominal = ENGINES * TOKENS_PER_MILLISECOND / PROMPT_TOKENS;
        const next = now - Math.log(1 - random()) / (nominal * demand(now));
        vi.advanceTimersByTime(next - now);
        now = next;
        ended.sort((left, right) => left.at - right.at);
        while ((ended[0]?.at ?? Number.POSITIVE_INFINITY) <= now) {
            ended.shift()?.run();
        }
        if (now >= reportAt) {
            cell.exchange();
            reportAt = now + REPORT_MILLISECONDS;
        }
        const instance = cell.instances[Math.floor(random() * INSTANCES)]!;
        const candidates = engines.map(engine => ({
            engine,
            queuedTokens: engine.queued.filter(at => at > now).length * PROMPT_TOKENS,
            failureRate: 0,
            isRemote: false,
            savedTokens: 0,
            speedFactor: learns ? instance.factors.get(engine.server.id) ?? 1 : 1,
        }));
        const { engine, queuedTokens } = chooser.choosePrefill(candidates, PROMPT_TOKENS)!;
        const milliseconds = PROMPT_TOKENS / TOKENS_PER_MILLISECOND / speed(engines.indexOf(engine), now)
            * (0.9 + 0.2 * random());
        engine.freeAt = Math.max(now, engine.freeAt) + milliseconds;
        engine.queued = [...engine.queued.filter(at => at > now), engine.freeAt];
        const elapsed = engine.freeAt - now;
        times.push(elapsed);
        const expected = (queuedTokens + PROMPT_TOKENS) / TOKENS_PER_MILLISECOND;
        const run = () => {
            const weight = PROMPT_TOKENS / (queuedTokens + PROMPT_TOKENS);
            instance.speeds.record(engine.server, "prefill", Math.log(expected / elapsed), weight);
        };
        ended.push({ at: engine.freeAt, run });
    }
    return { mean: times.reduce((sum, time) => sum + time, 0) / times.length, factors: cell.factorsOf(0) };
}

const unequal = [0.7, 0.7, 1.7, 0.7, 0.7, 1.7];
const wave = (now: number) => 0.6 * (1 + 0.55 * Math.sin(now / 17_000 * 2 * Math.PI));

test.each<Load>([
    { name: "unequal engines under a wave", speed: engine => unequal[engine]!, demand: wave },
    { name: "one slow engine at even load", speed: engine => engine === 0 ? 0.4 : 1, demand: () => 0.6 },
    {
        name: "engines that slow by turns",
        speed: (engine, now) => Math.floor(now / 20_000) % ENGINES === engine ? 0.3 : 1,
        demand: () => 0.6,
    },
])("learned speeds shorten the time to a computed prompt: $name", load => {
    expect(play(load, true).mean).toBeLessThan(play(load, false).mean);
});

test("unequal engines are told apart in the right order", () => {
    const { factors } = play({ name: "", speed: engine => unequal[engine]!, demand: wave }, true);
    const slow = factors.filter((_, engine) => unequal[engine] === 0.7);
    const fast = factors.filter((_, engine) => unequal[engine] === 1.7);
    expect(Math.min(...fast)).toBeGreaterThan(Math.max(...slow));
});

test.each([0.3, 0.6, 0.9])("equal engines at load %f all count as equal and are not reported", demand => {
    const { factors } = play({ name: "", speed: () => 1, demand: () => demand }, true);
    expect(factors).toEqual(Array.from({ length: ENGINES }, () => 1));
});

/** Records runs of the first engine at one instance. */
function recordRuns(cell: Cell, instance: number, factor: number, runs: number): void {
    for (let run = 0; run < runs; run++) {
        vi.advanceTimersByTime(300);
        cell.instances[instance]?.speeds.record(cell.servers.get("engine-0")!, "prefill", Math.log(factor), 1);
    }
    cell.exchange();
}

// Guards against an engine that is avoided after a single run that a link or a caller held up.
test("a single slow run changes nothing", () => {
    const cell = new Cell();
    recordRuns(cell, 0, 0.05, 1);
    expect(cell.factorsOf(0)[0]).toBe(1);
});

test("what several instances know together is enough, and few runs change less than many", () => {
    const cell = new Cell();
    cell.instances.forEach((_, instance) => recordRuns(cell, instance, 0.4, 2));
    vi.advanceTimersByTime(300);
    cell.exchange();
    vi.advanceTimersByTime(300);
    cell.exchange();
    const few = cell.factorsOf(3)[0]!;
    expect(few).toBeLessThan(1);
    recordRuns(cell, 3, 0.4, 40);
    expect(cell.factorsOf(3)[0]).toBeLessThan(few);
});

test("runs are forgotten with age, and what a silent peer reported is", () => {
    const cell = new Cell();
    recordRuns(cell, 0, 0.4, 20);
    vi.advanceTimersByTime(300);
    cell.exchange();
    expect(cell.factorsOf(1)[0]).toBeLessThan(1);
    vi.advanceTimersByTime(5_000);
    cell.instances[1]?.speeds.report();
    expect(cell.factorsOf(1)[0]).toBe(1);
    vi.advanceTimersByTime(200_000);
    cell.instances[0]?.speeds.report();
    expect(cell.factorsOf(0)[0]).toBe(1);
});

// Guards against an engine that stays slow in the books since its former process was, or since it was cold.
test("half of the engines lost and cold again: nothing is kept of the former process or learned while cold", () => {
    const cell = new Cell();
    recordRuns(cell, 0, 0.4, 20);
    expect(cell.factorsOf(0)[0]).toBeLessThan(1);
    for (let index = 0; index < ENGINES / 2; index++) {
        cell.servers.set(`engine-${index}`, createEngine(index, 2));
        cell.cold.add(`engine-${index}`);
    }
    recordRuns(cell, 0, 0.3, 20);
    vi.advanceTimersByTime(300);
    cell.exchange();
    expect(cell.instances.map((_, instance) => cell.factorsOf(instance)[0])).toEqual([1, 1, 1, 1]);
});

test("a report names no more engines than its schema allows", () => {
    const cell = new Cell();
    for (let index = 0; index < 100; index++) {
        cell.servers.set(`engine-${index}`, createEngine(index));
        for (let run = 0; run < 9; run++) {
            cell.instances[0]?.speeds.record(createEngine(index), "prefill", index % 2 === 0 ? -1 : 1, 1);
        }
    }
    expect(speedReportSchema.safeParse(cell.instances[0]?.speeds.report()).success).toBe(true);
});

test("nothing is learned or reported where it is turned off", () => {
    const factors = new Map<string, number>();
    const directory = { servers: new Map([["engine-0", createEngine(0)]]), isCold: () => false };
    const logger = { info: () => {}, warn: () => {}, error: () => {} };
    const speeds = new EngineSpeeds(directory, (id, factor) => factors.set(id, factor), logger, false);
    for (let run = 0; run < 20; run++) {
        speeds.record(createEngine(0), "prefill", -1, 1);
        vi.advanceTimersByTime(300);
    }
    speeds.applyReport("peer", [["engine-0", 1, "prefill", 0.3, 50]]);
    expect(speeds.report()).toBeUndefined();
    expect([...factors.values()].filter(factor => factor !== 1)).toEqual([]);
});
