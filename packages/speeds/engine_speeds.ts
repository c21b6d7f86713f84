import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { Directory, EngineStage, RegisteredServer } from "../directory/mod.ts";
import type { Logger } from "../logs/mod.ts";
import { estimateSpeed } from "./_estimate_speed.ts";
import { SpeedEvidence } from "./_speed_evidence.ts";
import type { SpeedReport } from "./speed_report.ts";

/** Logarithm of the factor by which a speed must differ to be reported or to bear on a choice. */
const NOTABLE_LOGARITHM = Math.log(1.2);
/** Logarithm of the factor that one run counts for at most, since a caller or a link may have held it up. */
const LARGEST_LOGARITHM = Math.log(4);
/** Least weight of runs that are reported. */
const LEAST_REPORTED_WEIGHT = 0.5;
/** Largest number of engines in one report, those with the most runs first. */
const MAXIMUM_REPORTED_ENGINES = 64;
/** Age in milliseconds above which a peer's report is no longer counted. */
const REPORT_LIFETIME_MILLISECONDS = 3_000;
/** Time in milliseconds for which the factors are not computed again. */
const FACTORS_LIFETIME_MILLISECONDS = 250;
const STAGES: readonly EngineStage[] = ["prefill", "decode"];

type Evidence = ReturnType<SpeedEvidence["read"]>;

/**
 * Speeds of the engines as factors of the median of their service and stage, learned from the runs of this instance and
 * its peers. An engine counts as fast as the median until its runs show, beyond chance, that it differs notably. Runs are
 * forgotten with age and when the engine restarts.
 *
 * @example
 * ```ts
 * const speeds = new EngineSpeeds(directory, (id, factor) => serverLoads.get(id).speedFactor = factor, logger);
 * speeds.record(server, "prefill", Math.log(0.7), 1);
 * ```
 */
export class EngineSpeeds {
    readonly #own = new Map<string, { startedAt: number; runs: Record<EngineStage, SpeedEvidence>; }>();
    readonly #peers = new Map<string, { report: SpeedReport; at: number; }>();
    #factors = new Map<string, number>();
    #computedAt = Number.NEGATIVE_INFINITY;

    /**
     * @param directory Registered engines; the runs of others are dropped.
     * @param setFactor Called with the id of each engine that counts as faster or slower, again and again, and with factor 1
     * when it ceases to.
     * @param logger Gets a line when an engine begins or ceases to count as faster or slower.
     * @param isOn Whether speeds are learned; without, all engines count as equally fast and nothing is reported.
     */
    constructor(
        private readonly directory: Pick<Directory, "servers" | "isCold">,
        private readonly setFactor: (id: string, factor: number) => void,
        private readonly logger: Logger,
        readonly isOn = true,
    ) {}

    /** Engines that count as faster or slower than the median. */
    get differing(): number {
        return this.#factors.size;
    }

    /**
     * Records a run. Runs of an engine that is cold after its start are left out.
     *
     * @param server The engine.
     * @param stage Stage that the run belongs to.
     * @param logarithm Logarithm of the run's speed as a factor of the usual one.
     * @param weight How much the run says about the engine, from 0 to 1.
     */
    record(server: RegisteredServer, stage: EngineStage, logarithm: number, weight: number): void {
        if (!this.isOn || !Number.isFinite(logarithm) || this.directory.isCold(server.id)) {
            return;
        }
        let engine = this.#own.get(server.id);
        if (engine?.startedAt !== server.startedAt) {
            engine = {
                startedAt: server.startedAt,
                runs: { prefill: new SpeedEvidence(), decode: new SpeedEvidence() },
            };
            this.#own.set(server.id, engine);
        }
        const bounded = Math.max(-LARGEST_LOGARITHM, Math.min(LARGEST_LOGARITHM, logarithm));
        engine.runs[stage].record(bounded, weight, monotonicMilliseconds());
        this.#refresh();
    }

    /**
     * Creates the report for peers.
     *
     * @returns Engines whose runs at this instance differ notably; undefined if there is none.
     */
    report(): SpeedReport | undefined {
        this.#refresh();
        const now = monotonicMilliseconds();
        const entries: SpeedReport = [];
        for (const [id, { startedAt, runs }] of this.#own) {
            for (const stage of STAGES) {
                const { weight, mean, meanSquare } = runs[stage].read(now);
                const { logarithm } = estimateSpeed([{ weight, mean, meanSquare }]);
                if (Math.abs(logarithm) >= NOTABLE_LOGARITHM && weight >= LEAST_REPORTED_WEIGHT) {
                    entries.push([id, startedAt, stage, Number(Math.exp(mean).toFixed(2)), Math.round(weight)]);
                }
            }
        }
        entries.sort((left, right) => right[4] - left[4]);
        return entries.length > 0 ? entries.slice(0, MAXIMUM_REPORTED_ENGINES) : undefined;
    }

    /**
     * Replaces what a peer knows.
     *
     * @param peer Name of the peer.
     * @param report Its report; undefined if all engines are equally fast to it.
     */
    applyReport(peer: string, report: SpeedReport | undefined): void {
        if (report && this.isOn) {
            this.#peers.set(peer, { report, at: monotonicMilliseconds() });
            this.#refresh();
        }
        else {
            this.#peers.delete(peer);
        }
    }

    #refresh(): void {
        const now = monotonicMilliseconds();
        if (now - this.#computedAt < FACTORS_LIFETIME_MILLISECONDS) {
            return;
        }
        this.#computedAt = now;
        this.#removeExpired(now);
        const previous = this.#factors;
        this.#factors = this.#compute(now);
        for (const id of new Set([...previous.keys(), ...this.#factors.keys()])) {
            const factor = this.#factors.get(id) ?? 1;
            this.setFactor(id, factor);
            if (previous.has(id) !== this.#factors.has(id)) {
                this.logger.info("speed of an engine judged anew", { engine: id, factor: Number(factor.toFixed(2)) });
            }
        }
    }

    #removeExpired(now: number): void {
        for (const [peer, { at }] of this.#peers) {
            if (now - at > REPORT_LIFETIME_MILLISECONDS) {
                this.#peers.delete(peer);
            }
        }
        for (const [id, { startedAt }] of this.#own) {
            if (this.directory.servers.get(id)?.startedAt !== startedAt) {
                this.#own.delete(id);
            }
        }
    }

    /** Computes the factors that differ notably from 1. */
    #compute(now: number): Map<string, number> {
        const confident = new Map<string, number>();
        for (const [key, entries] of this.#collect(now)) {
            const { logarithm, isConfident } = estimateSpeed(entries);
            if (isConfident) {
                confident.set(key, logarithm);
            }
        }
        const factors = new Map<string, number>();
        if (confident.size === 0) {
            return factors;
        }
        const groups = new Map<string, { id: string; logarithm: number | undefined; }[]>();
        for (const { id, service, stage, startedAt } of this.directory.servers.values()) {
            if (stage !== undefined) {
                const group = groups.get(`${service}/${stage}`) ?? [];
                group.push({ id, logarithm: confident.get(`${id}/${startedAt}/${stage}`) });
                groups.set(`${service}/${stage}`, group);
            }
        }
        for (const engines of groups.values()) {
            // Engines without confident runs count as usual ones.
            const median = medianOf(engines.map(({ logarithm }) => logarithm ?? 0));
            for (const { id, logarithm } of engines) {
                if (logarithm !== undefined && Math.abs(logarithm - median) >= NOTABLE_LOGARITHM) {
                    factors.set(id, Math.exp(logarithm - median));
                }
            }
        }
        return factors;
    }

    /** What this instance and its peers know, by engine, start and stage. */
    #collect(now: number): Map<string, Evidence[]> {
        const evidence = new Map<string, Evidence[]>();
        const add = (key: string, entry: Evidence) => evidence.set(key, [...evidence.get(key) ?? [], entry]);
        for (const [id, { startedAt, runs }] of this.#own) {
            for (const stage of STAGES) {
                const entry = runs[stage].read(now);
                if (entry.weight > 0) {
                    add(`${id}/${startedAt}/${stage}`, entry);
                }
            }
        }
        for (const { report } of this.#peers.values()) {
            for (const [id, startedAt, stage, factor, weight] of report) {
                const mean = Math.log(factor);
                add(`${id}/${startedAt}/${stage}`, { weight, mean, meanSquare: mean ** 2 });
            }
        }
        return evidence;
    }
}

function medianOf(values: readonly number[]): number {
    const sorted = [...values].sort((left, right) => left - right);
    const middle = (sorted.length - 1) / 2;
    return ((sorted[Math.floor(middle)] ?? 0) + (sorted[Math.ceil(middle)] ?? 0)) / 2;
}
