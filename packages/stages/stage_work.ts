import { addSums } from "./_add_sums.ts";
import { WorkSums } from "./_work_sums.ts";
import type { StageWorkReport } from "./stage_work_report.ts";

/** Prefills and runs below which chance decides the means. */
const MINIMUM_RUNS = 12;
/** Prompt tokens of prefills at idle engines below which the time of a prompt token is unknown. */
const MINIMUM_IDLE_TOKENS = 8_000;
/** Age in milliseconds above which a peer's report is no longer counted. */
const REPORT_LIFETIME_MILLISECONDS = 10_000;
/** Mean times of a run for which answers must have been observed, since the first ones to end are the short ones. */
const OBSERVED_RUNS_TIME = 4;
const DECIMALS = 2;

/** A prefill that has succeeded. */
interface EndedPrefill {
    promptTokens: number;
    /** Time from the request to the response in milliseconds. */
    milliseconds: number;
    /** Whether nothing else was queued at the engine, so that the time is the engine's own. */
    isIdle: boolean;
}

/** A run of a decode engine that has succeeded, of a prompt that a prefill engine had computed. */
interface EndedRun {
    /** Fraction of the engine's memory or slots that was reserved, whichever is larger. */
    occupancy: number;
    /** Time from the request to the end of its response in milliseconds. */
    milliseconds: number;
}

/**
 * Learns how much engine time a request takes in each stage, from this instance's requests and those of its peers. The
 * ratio depends on what callers ask for and not on how many they are, so a sample is enough, and queues do not distort it.
 *
 * @example
 * ```ts
 * const work = new StageWork();
 * work.recordPrefill("chat", { promptTokens: 3_200, milliseconds: 160, isIdle: true }, clock.now());
 * work.recordRun("chat", { occupancy: 0.14, milliseconds: 400 }, clock.now());
 * work.prefillFraction("chat", clock.now());
 * ```
 */
export class StageWork {
    readonly #own = new Map<string, WorkSums>();
    /** Time of the first observation, by service, of this instance or a peer. */
    readonly #observedSince = new Map<string, number>();
    readonly #peers = new Map<string, { report: StageWorkReport; at: number; }>();

    /**
     * Records a prefill.
     *
     * @param service Name of the service.
     * @param prefill The prefill.
     * @param now Time in milliseconds.
     */
    recordPrefill(service: string, prefill: EndedPrefill, now: number): void {
        const { promptTokens, milliseconds, isIdle } = prefill;
        this.#observe(service, now);
        const idle = isIdle ? [promptTokens, milliseconds] as const : [0, 0] as const;
        this.#of(service).add([1, promptTokens, ...idle, 0, 0, 0], now);
    }

    /**
     * Records a run of a decode engine.
     *
     * @param service Name of the service.
     * @param run The run.
     * @param now Time in milliseconds.
     */
    recordRun(service: string, run: EndedRun, now: number): void {
        const { occupancy, milliseconds } = run;
        this.#of(service).add([0, 0, 0, 0, 1, occupancy, occupancy * milliseconds], now);
    }

    /**
     * Reports the engine time of this instance's own requests.
     *
     * @param now Time in milliseconds.
     * @returns The report; undefined without requests.
     */
    report(now: number): StageWorkReport | undefined {
        const report: StageWorkReport = {};
        for (const [service, sums] of this.#own) {
            const [prefills, promptTokens, idleTokens, idleMilliseconds, runs, occupancy, decodeMilliseconds] = sums
                .read(now);
            report[service] = [
                Number(prefills.toFixed(DECIMALS)),
                Math.round(promptTokens),
                Math.round(idleTokens),
                Math.round(idleMilliseconds),
                Number(runs.toFixed(DECIMALS)),
                Number(occupancy.toFixed(DECIMALS)),
                Math.round(decodeMilliseconds),
            ];
        }
        return this.#own.size > 0 ? report : undefined;
    }

    /**
     * Replaces what a peer has reported.
     *
     * @param peer Name of the peer.
     * @param report Its report; undefined if it has had no requests.
     * @param now Time in milliseconds.
     */
    applyReport(peer: string, report: StageWorkReport | undefined, now: number): void {
        if (report) {
            this.#peers.set(peer, { report, at: now });
            Object.keys(report).forEach(service => this.#observe(service, now));
        }
        else {
            this.#peers.delete(peer);
        }
    }

    /**
     * Computes the fraction of a service's engine time that prefills take. Engines divided by it are equally busy in both
     * stages.
     *
     * @param service Name of the service.
     * @param now Time in milliseconds.
     * @returns The fraction, from 0 to 1; undefined while too little is known.
     */
    prefillFraction(service: string, now: number): number | undefined {
        const [prefills, promptTokens, idleTokens, idleMilliseconds, runs, occupancy, decodeMilliseconds] = this.#sum(
            service,
            now,
        );
        if (prefills < MINIMUM_RUNS || runs < MINIMUM_RUNS || idleTokens < MINIMUM_IDLE_TOKENS) {
            return undefined;
        }
        const observedMilliseconds = now - (this.#observedSince.get(service) ?? now);
        if (observedMilliseconds < OBSERVED_RUNS_TIME * decodeMilliseconds / Math.max(occupancy, 1e-9)) {
            return undefined;
        }
        const prefill = promptTokens / prefills * idleMilliseconds / idleTokens;
        // Memory is reserved before the prompt is computed.
        const decode = (decodeMilliseconds + occupancy * prefill) / runs;
        return prefill + decode > 0 ? prefill / (prefill + decode) : undefined;
    }

    #sum(service: string, now: number): StageWorkReport[string] {
        let total = this.#own.get(service)?.read(now) ?? [0, 0, 0, 0, 0, 0, 0];
        for (const [peer, { report, at }] of this.#peers) {
            if (now - at > REPORT_LIFETIME_MILLISECONDS) {
                this.#peers.delete(peer);
            }
            else if (report[service]) {
                total = addSums(total, report[service]);
            }
        }
        return total;
    }

    #observe(service: string, now: number): void {
        if (!this.#observedSince.has(service)) {
            this.#observedSince.set(service, now);
        }
    }

    #of(service: string): WorkSums {
        let sums = this.#own.get(service);
        if (!sums) {
            sums = new WorkSums();
            this.#own.set(service, sums);
        }
        return sums;
    }
}
