import { sleep } from "../clocks/mod.ts";
import { pollConnections } from "../connections/mod.ts";
import { chooseReturned } from "./_choose_returned.ts";
import { FindingPauses } from "./_finding_pauses.ts";
import { LinkFinding } from "./_link_finding.ts";
import { runProbeRound } from "./_probe_round.ts";
import { WaitingCalls } from "./_waiting_calls.ts";
import type { LinkFault } from "./link_fault.ts";
import type { ReachabilityMonitorOptions } from "./reachability_monitor_options.ts";
import type { WaitingCall } from "./waiting_call.ts";

/** Time in milliseconds for which an answer shows that servers can be reached. */
const ANSWER_LIFETIME_MILLISECONDS = 3_000;
/** Number of servers probed in each round while isolated. */
const RETURN_PROBES = 2;
const RETURN_PERIOD_MILLISECONDS = 500;

/**
 * Decides whether this instance is isolated: partitioned from all backend servers. Nothing is probed unless a call has
 * failed, or waits while no server answers.
 *
 * @example
 * ```ts
 * const monitor = new ReachabilityMonitor(options);
 * monitor.onChange(isIsolated => console.log(isIsolated));
 * monitor.recordFault("server-1", "reset");
 * monitor.close();
 * ```
 */
export class ReachabilityMonitor {
    readonly #options: Required<ReachabilityMonitorOptions>;
    /** Times of the last answers by id of the server. */
    readonly #answeredAt = new Map<string, number>();
    #lastAnswerAt = Number.NEGATIVE_INFINITY;
    readonly #calls: WaitingCalls;
    readonly #pauses = new FindingPauses();
    readonly #listeners: ((isIsolated: boolean) => void)[] = [];
    readonly #closing = new AbortController();
    #finding: { finding: LinkFinding; done: Promise<void>; } | undefined;
    /** Causes for a finding that waits for the end of a pause, by id of the server. */
    #causes = new Map<string, string>();
    #causesTimer: NodeJS.Timeout | undefined;
    #isolatedSince: number | undefined;

    /**
     * @param options Dependencies of the monitor.
     */
    constructor(options: ReachabilityMonitorOptions) {
        this.#options = { random: Math.random, poll: pollConnections, ...options };
        this.#calls = new WaitingCalls({
            now: () => options.clock.now(),
            poll: () => this.#options.poll(),
            onLongWait: servers => this.#suspectAll(servers),
        });
        options.metrics.gauge("servers_isolated", () => Number(this.isIsolated));
    }

    /** Whether this instance is partitioned from all servers. */
    get isIsolated(): boolean {
        return this.#isolatedSince !== undefined;
    }

    /** Whether it is isolated, or that is being found out. */
    get isSuspected(): boolean {
        return this.isIsolated || this.#finding !== undefined;
    }

    /**
     * Registers a listener that runs when the instance has become isolated, or reaches servers again.
     *
     * @param listener The listener.
     */
    onChange(listener: (isIsolated: boolean) => void): void {
        this.#listeners.push(listener);
    }

    /**
     * Reports to peers whether servers can be reached.
     *
     * @returns True if one has answered lately, false while isolated, undefined if nothing is known.
     */
    report(): boolean | undefined {
        if (this.isIsolated) {
            return false;
        }
        return this.#options.clock.now() - this.#lastAnswerAt < ANSWER_LIFETIME_MILLISECONDS ? true : undefined;
    }

    /**
     * Finds out whether what was just seen of a server is no effect of isolation, by a probe of another server.
     *
     * @param server Id of the server.
     * @returns Whether the links stand.
     */
    async confirmLinks(server: string): Promise<boolean> {
        if (!this.isSuspected && !this.#closing.signal.aborted) {
            this.#find(new Map([[server, "to be confirmed"]]));
        }
        return await this.settle();
    }

    /**
     * Waits until it is known whether the links stand, if that is being found out.
     *
     * @returns Whether they stand.
     */
    async settle(): Promise<boolean> {
        await this.#finding?.done;
        return !this.isIsolated;
    }

    /**
     * Records that a call has been sent to a server; {@linkcode endCall} follows when it has ended in any way.
     *
     * @param server Id of the server.
     * @returns The call.
     */
    beginCall(server: string): WaitingCall {
        return this.#calls.begin(server);
    }

    /**
     * Records that a call does not wait any more.
     *
     * @param call The call.
     */
    endCall(call: WaitingCall): void {
        this.#calls.end(call);
    }

    /**
     * Records that something has come from a server.
     *
     * @param server Id of the server.
     */
    recordAnswer(server: string): void {
        const now = this.#options.clock.now();
        this.#lastAnswerAt = now;
        this.#answeredAt.set(server, now);
        this.#calls.restart(now);
    }

    /**
     * Records that a call to a server has failed, or a connection to it has broken.
     *
     * @param server Id of the server.
     * @param kind How it failed.
     */
    recordFault(server: string, kind: LinkFault): void {
        if (this.isIsolated) {
            return;
        }
        if (this.#finding) {
            this.#finding.finding.addSuspect(server, kind);
            return;
        }
        this.#causes.set(server, kind);
        this.#findAfterPause();
    }

    /** Ends all timers. Probes that are under way have no effect any more. */
    close(): void {
        this.#closing.abort();
        this.#calls.close();
        clearTimeout(this.#causesTimer);
    }

    /** Suspects the links because of calls that wait; within a pause, they come up again. */
    #suspectAll(servers: ReadonlySet<string>): void {
        if (!this.isSuspected && this.#pauses.endFor(servers, true) <= this.#options.clock.now()) {
            this.#find(new Map([...servers].map(id => [id, "waiting"])));
        }
    }

    #findAfterPause(): void {
        clearTimeout(this.#causesTimer);
        if (this.isSuspected || this.#closing.signal.aborted) {
            return;
        }
        const remaining = this.#pauses.endFor(new Set(this.#causes.keys())) - this.#options.clock.now();
        if (remaining <= 0) {
            this.#find(this.#causes);
        }
        else {
            this.#causesTimer = setTimeout(() => this.#findAfterPause(), remaining);
            this.#causesTimer.unref();
        }
    }

    #find(causes: ReadonlyMap<string, string>): void {
        clearTimeout(this.#causesTimer);
        const finding = new LinkFinding({
            ...this.#options,
            answeredAt: id => this.#answeredAt.get(id) ?? Number.NEGATIVE_INFINITY,
            lastAnswerAt: () => this.#lastAnswerAt,
        }, causes);
        this.#causes = new Map();
        this.#finding = { finding, done: this.#finish(finding) };
    }

    async #finish(finding: LinkFinding): Promise<void> {
        const isIsolated = await finding.run();
        this.#finding = undefined;
        if (this.#closing.signal.aborted) {
            return;
        }
        const { clock, logger, servers } = this.#options;
        const now = clock.now();
        const fields = {
            evidence: Object.fromEntries(finding.suspects),
            probes: Object.fromEntries(finding.results),
            suspectedMilliseconds: Math.round(now - finding.startedAt),
            ...Number.isFinite(this.#lastAnswerAt)
                ? { lastAnswerMillisecondsAgo: Math.round(now - this.#lastAnswerAt) }
                : {},
        };
        if (isIsolated) {
            logger.warn("links to servers lost", fields);
            this.#isolatedSince = now;
            this.#listeners.forEach(listener => listener(true));
            void this.#awaitReturn(now);
            return;
        }
        if (finding.results.size > 0) {
            logger.info("links to servers suspected", { ...fields, found: "standing" });
        }
        this.#pauses.record(new Set(finding.suspects.keys()), now);
        const registered = new Set(servers().map(({ id }) => id));
        [...this.#answeredAt.keys()].filter(id => !registered.has(id)).forEach(id => this.#answeredAt.delete(id));
    }

    async #awaitReturn(since: number): Promise<void> {
        const { clock, logger, servers, random } = this.#options;
        const { signal } = this.#closing;
        const probedAt = new Map<string, number>();
        let answered = new Set<string>();
        let startedAt = since;
        for (;;) {
            await sleep(RETURN_PERIOD_MILLISECONDS - (clock.now() - startedAt), signal);
            if (signal.aborted) {
                return;
            }
            startedAt = clock.now();
            const probed = chooseReturned({ servers: servers(), count: RETURN_PROBES, answered, probedAt, random });
            probed.forEach(({ id }) => probedAt.set(id, startedAt));
            const { results, isAnswered } = await runProbeRound(probed, this.#options);
            const before = answered;
            answered = new Set([...results].filter(([, result]) => result === "answered").map(([id]) => id));
            // One of two may have ended; a server that answers again and again shows that a part can be reached.
            if (isAnswered && (answered.size === probed.length || [...answered].some(id => before.has(id)))) {
                break;
            }
        }
        if (signal.aborted) {
            return;
        }
        this.#isolatedSince = undefined;
        this.#calls.restart(clock.now());
        logger.warn("links to servers regained", {
            servers: [...answered],
            isolatedMilliseconds: Math.round(clock.now() - since),
        });
        this.#listeners.forEach(listener => listener(false));
    }
}
