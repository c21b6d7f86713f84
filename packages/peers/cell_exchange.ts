import { instanceId } from "../instances/mod.ts";
import { selectMembers } from "../membership/mod.ts";
import type { Cell } from "./cell.ts";
import { cellDigestSchema } from "./cell_digest_schema.ts";
import type { CellExchangeOptions } from "./cell_exchange_options.ts";
import { cellQuerySchema } from "./cell_query_schema.ts";
import { cellRelaySchema } from "./cell_relay_schema.ts";
import { CellSummaries } from "./cell_summaries.ts";
import type { CellSummary } from "./cell_summary.ts";
import { cellSummarySchema } from "./cell_summary_schema.ts";
import type { Peer } from "./peer.ts";

/** Members of each cell that receive the summaries of other cells; a second one, so that the primary may fail. */
const RECEIVERS = 2;
const PRIMARY_GROUP = "cell-primary";
/** Age in milliseconds of a member's last report above which it cannot be the primary of its cell. */
const MAXIMUM_PRIMARY_REPORT_AGE_MILLISECONDS = 1_300;
/** Time in milliseconds after the start in which no summaries are sent, since the members are not known yet. */
const STARTUP_MILLISECONDS = 1_500;
/** Shortest time in milliseconds between two summaries. */
const MINIMUM_PERIOD_MILLISECONDS = 250;
/** Maximum messages that a primary sends in a second; in a larger fleet, it sends summaries less often. */
const MESSAGES_PER_SECOND = 120;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Exchanges the state of cells: the primary of each cell sends a summary of its own cell to the others, and what it
 * receives from them to its members. An instance therefore receives a message a period, whatever the size of the fleet.
 *
 * @example
 * ```ts
 * const exchange = new CellExchange(options);
 * exchange.step();
 * ```
 */
export class CellExchange {
    readonly #summaries: CellSummaries;
    readonly #startedAt: number;
    #lastSentAt = Number.NEGATIVE_INFINITY;
    #primary = false;

    /**
     * @param options Dependencies of the exchange.
     */
    constructor(private readonly options: CellExchangeOptions) {
        const { server, members, clock, usageWindowMilliseconds } = options;
        this.#summaries = new CellSummaries(clock, usageWindowMilliseconds);
        this.#startedAt = clock.now();
        server.handle("cells.summary", cellSummarySchema, async summary => {
            members.recordReport(summary.from, true);
            this.#summaries.record(summary);
        });
        server.handle("cells.query", cellQuerySchema, async ({ from, cells }) => this.#relay(from, cells));
        server.handle("cells.relay", cellRelaySchema, async ({ summary, age }) => this.#recordRelay(summary, age));
        server.handle("cells.digest", cellDigestSchema, async ({ from, state }) => {
            // A digest of another cell lacks that cell and includes this one.
            if (this.#ownCell()?.members.includes(from.name)) {
                options.onState(state);
            }
        });
    }

    /** Whether this instance acts for its cell. */
    get isPrimary(): boolean {
        return this.#primary;
    }

    /** Sends the summary of this cell and the digest of the others, if this instance is the primary and it is time. */
    step(): void {
        const { clock, members, self, pool, createState, onState } = this.options;
        const now = clock.now();
        const { cells } = members.partition;
        const own = this.#ownCell();
        const isPrimary = own !== undefined && now - this.#startedAt >= STARTUP_MILLISECONDS && this.#isPrimary(own);
        this.#logPrimaryChange(isPrimary, own);
        if (!isPrimary || cells.length === 1) {
            return;
        }
        const others = cells.filter(cell => cell.id !== own.id);
        const receivers = others.flatMap(cell => this.#receivers(cell));
        const messages = receivers.length + own.members.length;
        const period = Math.max(MINIMUM_PERIOD_MILLISECONDS, messages / MESSAGES_PER_SECOND * MILLISECONDS_PER_SECOND);
        if (now - this.#lastSentAt < period) {
            return;
        }
        this.#lastSentAt = now;
        const mates = members.peers().map(({ peer }) => peer).filter(({ name }) => own.members.includes(name));
        const processes = [self, ...mates].map(({ incarnation }) => incarnation);
        pool.broadcast(receivers, "cells.summary", { from: self, cell: own.id, processes, state: createState() });
        const state = this.#summaries.merge(others.map(({ id }) => id));
        onState(state);
        pool.broadcast(mates, "cells.digest", { from: self, state });
        this.#querySilent(own, others);
    }

    /**
     * Lists the instances of other cells that this instance sends summaries to.
     *
     * @returns The peers; none if this instance is not the primary of its cell.
     */
    targets(): Peer[] {
        const own = this.#ownCell();
        const { cells } = this.options.members.partition;
        return this.#primary ? cells.filter(cell => cell !== own).flatMap(cell => this.#receivers(cell)) : [];
    }

    /**
     * Asks a random cell for the summaries of those that this one does not hear from: two failure domains may be cut off
     * from each other while a third reaches both. An instance that has started recently also asks for its own cell.
     */
    #querySilent(own: Cell, others: Cell[]): void {
        const { pool, self, clock, usageWindowMilliseconds } = this.options;
        const silent = this.#summaries.silent(others.map(({ id }) => id));
        const heard = others.filter(({ id }) => !silent.includes(id));
        const respondent = heard[Math.floor(Math.random() * heard.length)];
        const isNew = clock.now() - this.#startedAt < usageWindowMilliseconds;
        const cells = isNew ? [...silent, own.id] : silent;
        if (respondent && cells.length > 0) {
            pool.broadcast(this.#receivers(respondent), "cells.query", { from: self, cells });
        }
    }

    #relay(from: Peer, cells: string[]): void {
        for (const cell of cells) {
            this.#summaries.find(cell).forEach(known => this.options.pool.broadcast([from], "cells.relay", known));
        }
    }

    #recordRelay(summary: CellSummary, age: number): void {
        const own = this.#ownCell();
        if (summary.cell !== own?.id) {
            this.#summaries.record(summary, age);
            return;
        }
        const { self, members } = this.options;
        const running = [self, ...own.members.flatMap(name => members.find(name)?.peer ?? [])];
        if (!running.some(({ incarnation }) => summary.processes.includes(incarnation))) {
            this.#summaries.recordReplaced(summary, age);
        }
    }

    #ownCell(): Cell | undefined {
        return this.options.members.partition.cellOf(this.options.self.name);
    }

    #isPrimary(own: Cell): boolean {
        const { self, members } = this.options;
        const live = own.members
            .filter(name => members.hasReportedWithin(name, MAXIMUM_PRIMARY_REPORT_AGE_MILLISECONDS))
            .flatMap(name => members.find(name)?.peer ?? [])
            .map(instanceId);
        const [primary] = selectMembers([...live, instanceId(self)], PRIMARY_GROUP, 1);
        return primary === instanceId(self);
    }

    /** Members of another cell that are its primary or would become it. */
    #receivers(cell: Cell): Peer[] {
        const { members } = this.options;
        const peers = cell.members.flatMap(name => members.find(name)?.peer ?? []);
        const trusted = peers.filter(({ name }) => !members.isSuspected(name));
        const candidates = (trusted.length > 0 ? trusted : peers).map(instanceId);
        const selected = new Set(selectMembers(candidates, PRIMARY_GROUP, Math.min(RECEIVERS, candidates.length)));
        return peers.filter(peer => selected.has(instanceId(peer)));
    }

    #logPrimaryChange(isPrimary: boolean, own: Cell | undefined): void {
        if (isPrimary !== this.#primary) {
            this.#primary = isPrimary;
            this.options.metrics.increment("cell_primary_changes_total");
            this.options.logger.info("primary of the cell has changed", {
                cell: own?.id,
                members: own?.members.length,
                outcome: isPrimary ? "this instance" : "another instance",
            });
        }
    }
}
