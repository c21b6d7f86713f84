import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { Logger } from "../logs/mod.ts";
import { computeNextProbe } from "./_compute_next_probe.ts";
import { CrashLog } from "./_crash_log.ts";
import type { PartBlock } from "./_part_block.ts";
import { ServedParts } from "./_served_parts.ts";
import type { CrashedRun } from "./crashed_run.ts";
import type { PartAdmission } from "./part_admission.ts";
import type { PromptPartReport } from "./prompt_part_report.ts";

/** Number of independent crashes at which a part is blocked. */
const BLOCKING_CRASHES = 2;
/** Time in milliseconds after the last request that held a part at which its block ends. */
const BLOCK_LIFETIME_MILLISECONDS = 60_000;
/** Time in milliseconds from a block to its first probe; the time between two probes doubles. */
const FIRST_PROBE_MILLISECONDS = 30_000;
/** The same for a part that was blocked together with another one, since one of the two may be sound. */
const FIRST_AMBIGUOUS_PROBE_MILLISECONDS = 1_000;
/** Time in milliseconds for which such a part may be requested without the other one; peers report that it was served. */
const AMBIGUOUS_GRACE_MILLISECONDS = 1_000;
/** Time in milliseconds within which a request that was admitted as a probe is sent to an engine or refused. */
const PROBE_PENDING_MILLISECONDS = 3_000;
/** Time in milliseconds after which the instance of the next rank may probe an ambiguous part, too. */
const PROBE_STAGGER_MILLISECONDS = 500;
const MAXIMUM_BLOCKS = 128;

/**
 * Finds the parts of prompts that crash each server which begins to generate from them. A run that had not delivered
 * events when its server crashed makes its parts suspects. A run that delivers events clears its parts. A part that was
 * suspected in several independent crashes and was not cleared is blocked, here and, by reports, at the other instances.
 *
 * @example
 * ```ts
 * const registry = new PromptPartRegistry(logger, (part, count) => subset.isTopRanked(part, count));
 * registry.recordCrash({ server: "server-1", startedAt, aliveAt, endedAt, parts: ["models/91bd"] });
 * registry.admit(["models/91bd"]); // "admitted"
 * ```
 */
export class PromptPartRegistry {
    readonly #crashes = new CrashLog();
    readonly #blocks = new Map<string, PartBlock>();
    readonly #served = new ServedParts();
    #version = 0;

    /**
     * @param logger Logs suspected, blocked and cleared parts.
     * @param isTopRanked Returns whether this instance is among the first `count` that probe a part.
     */
    constructor(
        private readonly logger: Logger,
        private readonly isTopRanked: (part: string, count: number) => boolean,
    ) {}

    /** Number of blocked parts. */
    get blockedParts(): number {
        return this.#blocks.size;
    }

    /** Changes with each change that peers must learn. */
    get version(): number {
        return this.#version;
    }

    /**
     * Decides whether a request may run, and records that its parts are still requested.
     *
     * @param parts Parts of its prompt.
     * @returns Whether it may run.
     */
    admit(parts: readonly string[]): PartAdmission {
        const blocks = this.#findBlocks(parts);
        const now = monotonicMilliseconds();
        for (const block of blocks.values()) {
            block.requestedAt = now;
        }
        const [entry, ...others] = blocks;
        if (!entry) {
            return "admitted";
        }
        const [part, block] = entry;
        const isAmbiguous = this.#crashes.isAmbiguous(part);
        const firstDelay = isAmbiguous ? FIRST_AMBIGUOUS_PROBE_MILLISECONDS : FIRST_PROBE_MILLISECONDS;
        const probeAt = computeNextProbe(block, firstDelay);
        const probers = isAmbiguous ? 1 + Math.floor((now - probeAt) / PROBE_STAGGER_MILLISECONDS) : 1;
        const isDue = now >= probeAt && now >= block.probingUntil;
        if (others.length > 0 || !isDue || !this.isTopRanked(part, probers)) {
            return "blocked";
        }
        block.probingUntil = now + PROBE_PENDING_MILLISECONDS;
        this.logger.info("blocked prompt part is probed", { part, isAmbiguous, sinceMilliseconds: now - block.since });
        return "probe";
    }

    /**
     * Records that a request that was admitted as a probe is sent to an engine.
     *
     * @param parts Parts of its prompt.
     */
    recordProbe(parts: readonly string[]): void {
        for (const block of this.#findBlocks(parts).values()) {
            block.probedAt = monotonicMilliseconds();
        }
    }

    /**
     * Returns whether a request that was admitted earlier must not be sent any more.
     *
     * @param parts Parts of its prompt.
     * @returns Whether one of them is blocked.
     */
    isBlocked(parts: readonly string[]): boolean {
        return this.#findBlocks(parts).size > 0;
    }

    /**
     * Records that a server crashed while a run had not delivered any event.
     *
     * @param run The run.
     */
    recordCrash(run: CrashedRun): void {
        const parts = run.parts.filter(part => !this.#served.has(part));
        this.logger.info("server crashed while a prompt ran", {
            server: run.server,
            suspectedParts: parts,
            clearedParts: run.parts.length - parts.length,
            startedAt: run.startedAt,
            aliveMilliseconds: Math.round(run.endedAt - run.aliveAt),
        });
        this.#addCrash({ ...run, parts });
    }

    /**
     * Records that a run has delivered events, so that its parts did not crash the server.
     *
     * @param parts Parts of its prompt.
     */
    recordServed(parts: readonly string[]): void {
        const now = monotonicMilliseconds();
        parts.forEach(part => this.#clear(part, now));
    }

    /**
     * Creates the report for other instances.
     *
     * @returns All that is suspected or blocked, and the suspected parts that were served.
     */
    createReport(): PromptPartReport {
        this.#removeExpired();
        const now = monotonicMilliseconds();
        const ageOf = (time: number) => Math.max(0, Math.round(now - time));
        return {
            crashes: this.#crashes.runs().map(({ server, startedAt, aliveAt, endedAt, parts }) => (
                { server, startedAt, aliveAge: ageOf(aliveAt), endedAge: ageOf(endedAt), parts }
            )),
            blocked: [...this.#blocks].map((
                [part, { since, requestedAt }],
            ) => [part, ageOf(since), ageOf(requestedAt)]),
            cleared: this.#served.reported().map(([part, at]) => [part, ageOf(at)]),
        };
    }

    /**
     * Applies the report of another instance.
     *
     * @param report The report.
     */
    applyReport(report: PromptPartReport): void {
        const now = monotonicMilliseconds();
        for (const [part, age] of report.cleared) {
            this.#clear(part, now - age);
        }
        for (const { server, startedAt, aliveAge, endedAge, parts } of report.crashes) {
            const suspected = parts.filter(part => !this.#contest(part));
            this.#addCrash({
                server,
                startedAt,
                aliveAt: now - aliveAge,
                endedAt: now - endedAge,
                parts: suspected,
            });
        }
        for (const [part, sinceAge, requestedAge] of report.blocked) {
            if (!this.#contest(part) && !this.#crashes.isExplained(part)) {
                this.#block(part, now - sinceAge, now - requestedAge, "a report");
            }
        }
    }

    #addCrash(run: CrashedRun): void {
        if (!this.#crashes.add(run)) {
            return;
        }
        this.#version++;
        const now = monotonicMilliseconds();
        for (const part of run.parts) {
            const crashes = this.#crashes.countCrashes(part);
            if (crashes >= BLOCKING_CRASHES && !this.#crashes.isExplained(part)) {
                this.#block(part, now, now, `${crashes} independent crashes`);
            }
        }
        for (const part of [...this.#blocks.keys()]) {
            if (this.#crashes.isExplained(part)) {
                this.#unblock(part, "another part explains its crashes");
            }
        }
    }

    #block(part: string, since: number, requestedAt: number, cause: string): void {
        const known = this.#blocks.get(part);
        const now = monotonicMilliseconds();
        if (known) {
            known.requestedAt = Math.max(known.requestedAt, requestedAt);
            return;
        }
        if (requestedAt < now - BLOCK_LIFETIME_MILLISECONDS || this.#blocks.size >= MAXIMUM_BLOCKS) {
            return;
        }
        this.#blocks.set(part, { since, requestedAt, probedAt: now, probingUntil: 0 });
        this.#version++;
        this.logger.warn("prompt part is blocked", { part, cause, sinceMilliseconds: Math.round(now - since) });
    }

    #unblock(part: string, cause: string): void {
        if (this.#blocks.delete(part)) {
            this.#version++;
            this.logger.info("prompt part is no longer blocked", { part, cause });
        }
    }

    #clear(part: string, at: number): void {
        const news = this.#served.record(part, at);
        const isSuspected = this.#blocks.has(part) || this.#crashes.has(part);
        if (news === "none" || !isSuspected || !this.#served.has(part)) {
            return;
        }
        if (news === "worth reporting") {
            this.#served.report(part);
            this.#version++;
        }
        this.#unblock(part, "it was served");
        this.#crashes.removePart(part);
    }

    /** Whether a part that another instance suspects was served; if so, the other instance is told. */
    #contest(part: string): boolean {
        if (!this.#served.has(part)) {
            return false;
        }
        if (this.#served.report(part)) {
            this.#version++;
        }
        return true;
    }

    #findBlocks(parts: readonly string[]): Map<string, PartBlock> {
        const found = new Map<string, PartBlock>();
        if (this.#blocks.size === 0) {
            return found;
        }
        this.#removeExpired();
        for (const part of parts) {
            const block = this.#blocks.get(part);
            if (block) {
                found.set(part, block);
            }
        }
        const [entry, ...others] = found;
        if (entry && others.length === 0 && this.#isInGrace(...entry)) {
            found.clear();
        }
        return found;
    }

    #isInGrace(part: string, { since }: PartBlock): boolean {
        return monotonicMilliseconds() - since < AMBIGUOUS_GRACE_MILLISECONDS && this.#crashes.isAmbiguous(part);
    }

    #removeExpired(): void {
        const now = monotonicMilliseconds();
        for (const [part, { requestedAt }] of this.#blocks) {
            if (requestedAt < now - BLOCK_LIFETIME_MILLISECONDS) {
                this.#unblock(part, "it is no longer requested");
            }
        }
    }
}
