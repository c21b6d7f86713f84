import { afterEach, beforeEach, expect, test, vi } from "vitest";
import type { RegisteredServer } from "../directory/mod.ts";
import type { PromptSection } from "../prompt_parts/mod.ts";
import { RandomSource } from "../randomness/mod.ts";
import { EngineChooser } from "../speeds/mod.ts";
import { PromptMemory } from "./prompt_memory.ts";

const SERVICE = "models";
const MEMORY_TOKENS = 30_000;
const TOKENS_PER_MILLISECOND = 25;
const OWN_TOKENS = 3_000;
const PREAMBLE: PromptSection = { key: "preamble", tokens: 200 };

beforeEach(() => {
    vi.useFakeTimers();
    vi.advanceTimersByTime(1_000_000);
});

afterEach(() => {
    vi.useRealTimers();
});

function promptOf(session: string, preamble = PREAMBLE): PromptSection[] {
    return [preamble, { key: session, tokens: OWN_TOKENS }];
}

function createEngines(count: number, startedAt = 1): RegisteredServer[] {
    return Array.from({ length: count }, (_, index) => (
        { id: `engine-${index}`, service: SERVICE, startedAt, stage: "prefill" } as RegisteredServer
    ));
}

interface Load {
    /** Draws the next prompt. */
    prompt: (random: RandomSource) => PromptSection[];
    instances: number;
    engines: number;
    /** Fraction of the engines' capacity, without savings, that is asked for. */
    demand: number;
    /** Whether engines keep what they read. */
    keeps: boolean;
    /** Fraction of the instances that are replaced by new ones in the middle. */
    replaced?: number;
    /** Whether half of the engines restart under their ids in the middle. */
    restarts?: boolean;
}

/** Plays a minute of prompts; returns what was read anew per prompt, and the times to a computed prompt. */
function play(load: Load, remembers: boolean): { read: number; mean: number; busiest: number; } {
    const random = new RandomSource(11);
    const chooser = new EngineChooser(() => random.next());
    const memories = Array.from({ length: load.instances }, () => new PromptMemory(() => load.instances));
    const engines = createEngines(load.engines).map(server => ({
        server,
        freeAt: 0,
        runs: 0,
        queued: [] as number[],
        kept: new Map<string, number>(),
    }));
    let [now, read, elapsed, prompts, isChanged] = [0, 0, 0, 0, false];
    const perMillisecond = load.engines * TOKENS_PER_MILLISECOND / (OWN_TOKENS + PREAMBLE.tokens) * load.demand;
    while (now < 60_000) {
        const pause = -Math.log(1 - random.next()) / perMillisecond;
        now += pause;
        vi.advanceTimersByTime(pause);
        if (now > 30_000 && !isChanged) {
            isChanged = true;
            for (let index = 0; index < load.instances * (load.replaced ?? 0); index++) {
                memories[index] = new PromptMemory(() => load.instances);
            }
            engines.filter((_, index) => load.restarts && index % 2 === 0).forEach(engine => {
                engine.server = { ...engine.server, startedAt: 2 };
                engine.kept.clear();
            });
        }
        const sections = load.prompt(random);
        const tokens = sections.reduce((sum, section) => sum + section.tokens, 0);
        const memory = random.pick(memories);
        memory.recordPrompt(SERVICE, sections);
        const savings = remembers ? memory.expectSavings(sections, engines.map(({ server }) => server)) : undefined;
        const { engine, queuedTokens, saving } = chooser.choosePrefill(
            engines.map(candidate => {
                const expected = savings?.get(candidate.server.id);
                return {
                    engine: candidate,
                    queuedTokens: candidate.queued.filter(at => at > now).length * tokens,
                    failureRate: 0,
                    isRemote: false,
                    speedFactor: 1,
                    saving: expected,
                    savedTokens: expected?.tokens ?? 0,
                };
            }),
            tokens,
        )!;
        const missing = sections.findIndex(({ key }) => !engine.kept.has(key));
        const anew = missing < 0 ? 0 : sections.slice(missing).reduce((sum, section) => sum + section.tokens, 0);
        [...sections].reverse().forEach(section => {
            engine.kept.delete(section.key);
            if (load.keeps) {
                engine.kept.set(section.key, section.tokens);
            }
        });
        while ([...engine.kept.values()].reduce((sum, kept) => sum + kept, 0) > MEMORY_TOKENS) {
            engine.kept.delete([...engine.kept.keys()][0]!);
        }
        engine.freeAt = Math.max(now, engine.freeAt) + anew / TOKENS_PER_MILLISECOND;
        engine.queued = [...engine.queued.filter(at => at > now), engine.freeAt];
        engine.runs++;
        memory.recordKept(engine.server, sections, MEMORY_TOKENS);
        if (queuedTokens === 0) {
            memory.recordOutcome(saving?.belief ?? "none", anew < tokens / 2);
        }
        read += anew;
        elapsed += engine.freeAt - now;
        prompts++;
    }
    const busiest = Math.max(...engines.map(({ runs }) => runs)) / (prompts / engines.length);
    return { read: read / prompts, mean: elapsed / prompts, busiest };
}

let fresh = 0;
const sessions = (count: number) => (random: RandomSource) => promptOf(`session-${random.integer(1, count)}`);
const unique = () => promptOf(`request-${fresh++}`);
const usual = { instances: 12, engines: 8, demand: 0.5, keeps: true };

test.each<Load & { name: string; }>([
    { name: "sessions that come again", prompt: sessions(60), ...usual },
    { name: "more sessions than the engines keep", prompt: sessions(160), ...usual },
    { name: "few instances", prompt: sessions(40), ...usual, instances: 2 },
    { name: "half of the instances new", prompt: sessions(60), ...usual, replaced: 0.5 },
    { name: "keepers restarted under their old ids", prompt: sessions(60), ...usual, restarts: true },
])("less is read anew, and prompts wait no longer: $name", load => {
    const [without, remembered] = [play(load, false), play(load, true)];
    expect(remembered.read).toBeLessThan(without.read);
    expect(remembered.mean).toBeLessThan(without.mean);
});

test.each<Load & { name: string; }>([
    { name: "a hot preamble and prompts of their own", prompt: unique, ...usual },
    { name: "beliefs that are wrong, as the engines keep nothing", prompt: sessions(60), ...usual, keeps: false },
    { name: "one instance and beliefs that are wrong", prompt: sessions(3), ...usual, instances: 1, keeps: false },
])("no engine is overrun, and prompts wait hardly longer: $name", load => {
    const [without, remembered] = [play(load, false), play(load, true)];
    expect(remembered.busiest).toBeLessThan(1.5);
    expect(remembered.mean).toBeLessThan(without.mean * 1.1);
});

// Guards against a keeper that becomes the bottleneck of its session.
test("a hot session has more than one keeper, and its prompts wait no longer than without memory", () => {
    const prompt = (random: RandomSource) => random.next() < 0.5 ? promptOf("hot") : sessions(60)(random);
    const load = { prompt, ...usual, demand: 1.5 };
    const [without, remembered] = [play(load, false), play(load, true)];
    expect(remembered.mean).toBeLessThan(without.mean);
});

/** A memory that has seen enough prompts to tell the preamble from sessions. */
function createMemory(instances = 1): PromptMemory {
    const memory = new PromptMemory(() => instances);
    for (let prompt = 0; prompt < 20; prompt++) {
        memory.recordPrompt(SERVICE, promptOf(`earlier-${prompt}`));
    }
    return memory;
}

test("instances agree on the keeper of a session, and keep agreeing for most sessions when an engine is missing", () => {
    const engines = createEngines(8);
    const keeperOf = (memory: PromptMemory, session: string, list: RegisteredServer[]) =>
        [...memory.expectSavings(promptOf(session), list)].find(([, { belief }]) => belief === "first")?.[0];
    const [first, second] = [createMemory(), createMemory()];
    const sessionNames = Array.from({ length: 400 }, (_, index) => `session-${index}`);
    const keepers = sessionNames.map(session => keeperOf(first, session, engines));
    expect(sessionNames.map(session => keeperOf(second, session, [...engines].reverse()))).toEqual(keepers);
    expect(new Set(keepers).size).toBe(engines.length);
    const without = engines.slice(1);
    sessionNames.forEach((session, index) => {
        if (keepers[index] !== engines[0]?.id) {
            expect(keeperOf(first, session, without)).toBe(keepers[index]);
        }
    });
});

test.each<[string, (memory: PromptMemory, engine: RegisteredServer) => RegisteredServer, number]>([
    ["kept at once", (_, engine) => engine, 0.25 * (OWN_TOKENS + PREAMBLE.tokens)],
    ["forgotten with age", (_, engine) => {
        vi.advanceTimersByTime(60_000);
        return engine;
    }, 0],
    ["forgotten at a restart under the old id", (_, engine) => ({ ...engine, startedAt: 2 }), 0],
    ["yielded to later prompts", (memory, engine) => {
        for (let prompt = 0; prompt < 12; prompt++) {
            memory.recordKept(engine, promptOf(`later-${prompt}`), MEMORY_TOKENS);
        }
        return engine;
    }, 0],
])("what was sent to an engine is %s", (_, change, expected) => {
    const memory = new PromptMemory(() => 1);
    const [engine, other] = createEngines(2) as [RegisteredServer, RegisteredServer];
    memory.recordKept(engine, promptOf("session"), MEMORY_TOKENS);
    const changed = change(memory, engine);
    expect(memory.expectSavings(promptOf("session"), [changed, other]).get(changed.id)?.tokens ?? 0).toBe(expected);
});

test("the common beginning alone, a gap, and prompts without parts save nothing", () => {
    const memory = new PromptMemory(() => 1);
    const engines = createEngines(2);
    memory.recordKept(engines[0]!, promptOf("session"), MEMORY_TOKENS);
    expect(memory.expectSavings(promptOf("other"), engines).size).toBe(0);
    expect(memory.expectSavings([{ key: "new", tokens: 10 }, ...promptOf("session")], engines).size).toBe(0);
    expect(memory.expectSavings([], engines).size).toBe(0);
});
