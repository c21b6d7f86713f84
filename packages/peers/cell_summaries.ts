import type { SuspensionAwareClock } from "../clocks/mod.ts";
import { mergeDemand } from "../decisions/mod.ts";
import { createEmptyReport, mergePromptPartReports } from "../prompt_parts/mod.ts";
import { mergeLeaving } from "./_merge_leaving.ts";
import { mergeLimits } from "./_merge_limits.ts";
import { UsageSum } from "./_usage_sum.ts";
import type { CellState } from "./cell_state.ts";
import type { CellSummary } from "./cell_summary.ts";

/** Age in milliseconds above which a summary no longer says what its cell does now. */
const SUMMARY_LIFETIME_MILLISECONDS = 1_500;
/** Age in milliseconds above which a summary is asked for at a third cell, which may still hear from that one. */
const SILENT_MILLISECONDS = 800;

interface Entry {
    summary: CellSummary;
    /** Time in milliseconds at which it arrived, by the caller's clock. */
    at: number;
}

/**
 * Latest summaries of the other cells, merged into one state for the members of this cell. What a silent cell was last
 * known to have spent still counts, and so does what the former processes of a cell had spent that was replaced whole,
 * until it has left the window of the rate limits.
 *
 * @example
 * ```ts
 * const summaries = new CellSummaries(clock, 8_000);
 * summaries.record(summary);
 * summaries.merge(["north#1"]).usage;
 * ```
 */
export class CellSummaries {
    readonly #entries = new Map<string, Entry>();
    /** Last summaries of processes that were all replaced at once. */
    #replaced: Entry[] = [];

    /**
     * @param clock Clock that also counts the time in which the machine was suspended.
     * @param windowMilliseconds Window of the rate limits.
     */
    constructor(
        private readonly clock: SuspensionAwareClock,
        private readonly windowMilliseconds: number,
    ) {}

    /**
     * Records the summary of a cell.
     *
     * @param summary The summary.
     * @param age Its age in milliseconds, if another instance relayed it; an older one than the known one is ignored.
     */
    record(summary: CellSummary, age = 0): void {
        const at = this.clock.now() - age;
        const previous = this.#entries.get(summary.cell);
        if (previous && previous.at > at) {
            return;
        }
        this.#entries.set(summary.cell, { summary, at });
        const known = new Set(previous?.summary.processes);
        if (previous && !summary.processes.some(process => known.has(process))) {
            // No survivor of the cell reports what the former processes had spent.
            this.recordReplaced(previous.summary, this.clock.now() - previous.at);
        }
    }

    /**
     * Records what a former set of processes of this instance's own cell had spent, as other cells remember it.
     *
     * @param summary Last summary of those processes.
     * @param age Its age in milliseconds.
     */
    recordReplaced(summary: CellSummary, age: number): void {
        const at = this.clock.now() - age;
        const known = this.#replaced.find(entry =>
            entry.summary.processes.some(process => summary.processes.includes(process))
        );
        if (!known || known.at < at) {
            this.#replaced = [...this.#replaced.filter(entry => entry !== known), { summary, at }];
        }
    }

    /**
     * Lists what is known of a cell: its latest summary, and those of processes that were all replaced.
     *
     * @param cell Id of the cell.
     * @returns The summaries within the window with their ages in milliseconds.
     */
    find(cell: string): { summary: CellSummary; age: number; }[] {
        const now = this.clock.now();
        this.#removeExpired(now);
        const latest = this.#entries.get(cell);
        const replaced = this.#replaced.filter(({ summary }) => summary.cell === cell);
        return [...latest ? [latest] : [], ...replaced].map(({ summary, at }) => ({ summary, age: now - at }));
    }

    /**
     * Lists the cells of which no summary has arrived recently.
     *
     * @param cells Ids of cells.
     * @returns Ids of those that are silent.
     */
    silent(cells: readonly string[]): string[] {
        const oldest = this.clock.now() - SILENT_MILLISECONDS;
        return cells.filter(cell => (this.#entries.get(cell)?.at ?? Number.NEGATIVE_INFINITY) < oldest);
    }

    /**
     * Merges the latest summaries.
     *
     * @param cells Ids of the other cells.
     * @returns The state of these cells together.
     */
    merge(cells: readonly string[]): CellState {
        const now = this.clock.now();
        this.#removeExpired(now);
        const merged: CellState = {
            usage: [],
            serverUsage: [],
            versionOutcomes: [],
            serverLimits: [],
            stageLoads: {},
            changing: [],
            gone: [],
            goneStarts: [],
            leaving: [],
            crashes: [],
            promptParts: createEmptyReport(),
        };
        const usage = new UsageSum();
        const serverUsage = new UsageSum();
        const versionOutcomes = new UsageSum();
        for (const cell of cells) {
            const entry = this.#entries.get(cell);
            if (!entry) {
                continue;
            }
            const { state } = entry.summary;
            const age = now - entry.at;
            const isFresh = age <= SUMMARY_LIFETIME_MILLISECONDS;
            usage.add(state.usage, age, isFresh);
            serverUsage.add(state.serverUsage, age, isFresh);
            versionOutcomes.add(state.versionOutcomes, age, isFresh);
            merged.serverLimits = mergeLimits(merged.serverLimits, state.serverLimits, age);
            if (isFresh) {
                addState(merged, state);
                mergePromptPartReports(merged.promptParts, state.promptParts, age);
            }
        }
        for (const { summary: { state }, at } of this.#replaced) {
            usage.addReplaced(state.usage, now - at);
            serverUsage.addReplaced(state.serverUsage, now - at);
            versionOutcomes.addReplaced(state.versionOutcomes, now - at);
        }
        return {
            ...merged,
            usage: usage.summaries(),
            serverUsage: serverUsage.summaries(),
            versionOutcomes: versionOutcomes.summaries(),
        };
    }

    #removeExpired(now: number): void {
        const oldest = now - this.windowMilliseconds;
        for (const [cell, { at }] of this.#entries) {
            if (at < oldest) {
                this.#entries.delete(cell);
            }
        }
        this.#replaced = this.#replaced.filter(({ at }) => at >= oldest);
    }
}

function addState(merged: CellState, state: CellState): void {
    for (const [service, [prefillTokens, reservedTokens]] of Object.entries(state.stageLoads)) {
        const [prefillSum, reservedSum] = merged.stageLoads[service] ?? [0, 0];
        merged.stageLoads[service] = [prefillSum + prefillTokens, reservedSum + reservedTokens];
    }
    merged.changing.push(...state.changing);
    merged.gone.push(...state.gone);
    merged.goneStarts = mergeLeaving(merged.goneStarts, state.goneStarts);
    merged.leaving = mergeLeaving(merged.leaving, state.leaving);
    merged.crashes.push(...state.crashes);
    merged.demand = mergeDemand([merged.demand, state.demand]);
}
