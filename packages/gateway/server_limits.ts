import type { SuspensionAwareClock } from "../clocks/mod.ts";
import type { Directory, RegisteredServer } from "../directory/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { ServerLimitNotice } from "../peers/mod.ts";
import type { KnownLimit } from "./_known_limit.ts";
import { mayBeOlder } from "./_may_be_older.ts";
import { parseServerLimit } from "./_parse_server_limit.ts";
import { UsageWindows } from "./_usage_windows.ts";
import { SharedUsage } from "./shared_usage.ts";
import type { SharedUsageOptions } from "./shared_usage_options.ts";

/** Length in milliseconds of the window in which requests to a server with a limit are counted. */
const WINDOW_MILLISECONDS = 4_000;
/** Time in milliseconds within which peers may not have heard of requests that were sent. */
const UNHEARD_MILLISECONDS = 500;
/** Excess over a limit that is permitted, as a fraction and in requests. */
const PERMITTED_EXCESS = 0.5;
const PERMITTED_SLACK = 5;
/** Fraction of the permitted excess that is used on purpose, up to as much as the limit itself. */
const USED_EXCESS_FRACTION = 0.5;
/** Time in milliseconds after which the next instance in a server's order has the first place. */
const TURN_MILLISECONDS = 4_000;
/** Fraction of the permitted excess that instances may use before they hear of each other's requests. */
const UNHEARD_EXCESS_FRACTION = 0.3;
/** Time in milliseconds by which a peer's notice may be older than it says, since it took a while to arrive. */
const NOTICE_TRANSIT_MILLISECONDS = 150;
/** Time in milliseconds for which the end of a limit is remembered, so that older notices do not bring it back. */
const ENDED_MILLISECONDS = 60_000;
/** Time in milliseconds for which the usage of others is not computed again, if no report has come. */
const OTHERS_LIFETIME_MILLISECONDS = 5;
/** Largest number of servers in a report. */
const MAXIMUM_REPORTED_SERVERS = 1_024;
/** Shortest time in milliseconds between two lines on one server that is at its limit. */
const LOG_PERIOD_MILLISECONDS = 1_000;
/** Characters of a header's value that are logged. */
const LOGGED_CHARACTERS = 64;
const MILLISECONDS_PER_SECOND = 1_000;

/** A start of a server: its id and the Unix time in milliseconds at which it started. */
type ServerStart = Pick<RegisteredServer, "id" | "startedAt">;

/** Dependencies of {@linkcode ServerLimits}. */
interface ServerLimitsOptions extends Omit<SharedUsageOptions, "windowMilliseconds"> {
    directory: Pick<Directory, "servers">;
    clock: SuspensionAwareClock;
    /** Position of this instance, from 0, in an order of all instances that differs by server. */
    rankOf: (server: string) => number;
    /** Returns the Unix time in milliseconds, by which the instances take turns. Default: that of the machine. */
    unixTime?: () => number;
    metrics: Metrics;
    logger: Logger;
}

/**
 * Keeps to the limits that servers name in their answers, over all instances together. A limit lasts until an answer comes
 * without it or the server starts again. What is left of it is divided among the instances in an order of their own for
 * each server, so that a limit below their number is used. The order turns, so that each instance comes first at times.
 *
 * @example
 * ```ts
 * const limits = new ServerLimits(options);
 * limits.record(server, "2.5", true); // 2.5 requests a second
 * if (limits.admits(server)) {
 *     const takeBack = limits.take(server);
 * }
 * ```
 */
export class ServerLimits {
    /** Requests to the servers by id. */
    readonly usage: SharedUsage;
    readonly #limits = new Map<string, KnownLimit>();
    /** Requests of this instance of which peers may not have heard. */
    readonly #unheard = new UsageWindows(UNHEARD_MILLISECONDS);
    #version = 0;
    #lastMalformed = "";

    /**
     * @param options Dependencies.
     */
    constructor(private readonly options: ServerLimitsOptions) {
        this.usage = new SharedUsage({ ...options, windowMilliseconds: WINDOW_MILLISECONDS });
    }

    /** Number that changes whenever a server names, changes or ends a limit. */
    get version(): number {
        return this.#version;
    }

    /**
     * Records what an answer says of the limit of its server.
     *
     * @param server The server, as it was registered when the request was sent.
     * @param value Value of the header; undefined if the answer has none.
     * @param endsWithout Whether an answer without the header ends the limit.
     */
    record(server: ServerStart, value: string | undefined, endsWithout: boolean): void {
        if (value === undefined) {
            if (endsWithout && this.#limits.has(server.id)) {
                this.#set(server, undefined, this.options.clock.now(), "answer");
            }
            return;
        }
        const perSecond = parseServerLimit(value);
        if (perSecond === undefined) {
            this.#recordMalformed(server, value);
            return;
        }
        this.#set(server, perSecond, this.options.clock.now(), "answer");
    }

    /**
     * Records what servers have said to peers.
     *
     * @param notices The notices.
     */
    recordPeerNotices(notices: ServerLimitNotice[]): void {
        const now = this.options.clock.now();
        for (const { id, startedAt, perSecond, age } of notices) {
            // In doubt, the limit still holds.
            const transit = perSecond === undefined ? NOTICE_TRANSIT_MILLISECONDS : 0;
            this.#set({ id, startedAt }, perSecond, now - age - transit, "peer");
        }
    }

    /**
     * Lists what servers have said to this instance, and to no peer later.
     *
     * @returns The notices, with their ages.
     */
    notices(): ServerLimitNotice[] {
        const now = this.options.clock.now();
        this.#forget(now);
        const notices: ServerLimitNotice[] = [];
        for (const [id, { startedAt, perSecond, at, firsthand }] of this.#limits) {
            if (firsthand) {
                notices.push({ id, startedAt, perSecond, age: Math.round(now - at) });
            }
        }
        return notices.slice(-MAXIMUM_REPORTED_SERVERS);
    }

    /**
     * Returns whether a request may be sent to a server now.
     *
     * @param server The server.
     * @returns Whether it may; true if the server has no limit.
     */
    admits(server: ServerStart): boolean {
        const known = this.#find(server);
        if (known?.perSecond === undefined) {
            return true;
        }
        const { id } = server;
        const { perSecond } = known;
        const now = this.options.clock.now();
        const limit = perSecond * WINDOW_MILLISECONDS / MILLISECONDS_PER_SECOND;
        const others = this.#computeOthers(id, known, limit, now);
        const heardFraction = 1 - others.missing / others.instances;
        const excess = (limit * PERMITTED_EXCESS + PERMITTED_SLACK) * heardFraction;
        const allowed = Math.max(1, limit + Math.min(limit, excess * USED_EXCESS_FRACTION));
        const left = allowed - this.usage.sum(id) - others.spent;
        if (left <= 0) {
            this.#logFull(id, { perSecond, own: this.usage.sum(id), others: others.spent, missing: others.missing });
            return false;
        }
        // Peers that have not heard of this instance's last requests divide what was left before them.
        const unheard = this.#unheard.sum(id, now);
        const places = Math.floor(left + unheard + excess * UNHEARD_EXCESS_FRACTION);
        const share = Math.ceil((places - this.#positionOf(id, others.instances)) / others.instances);
        return unheard < share;
    }

    /**
     * Counts a request that is sent to a server, or a place for one that will be.
     *
     * @param server The server.
     * @returns A function that takes the request back, if it is not sent.
     */
    take(server: ServerStart): () => void {
        const { id } = server;
        if (this.#find(server)?.perSecond === undefined) {
            return () => {};
        }
        this.usage.ask(id, 1);
        const takeBack = [this.usage.add(id, 1), this.#unheard.add(id, 1, this.options.clock.now())];
        return () => takeBack.splice(0).forEach(undo => undo());
    }

    /**
     * Returns the time after which a server that is at its limit has about one more place.
     *
     * @param server The server.
     * @returns The time in milliseconds; 0 if it may get a request now.
     */
    waitMilliseconds(server: ServerStart): number {
        const perSecond = this.#find(server)?.perSecond;
        return perSecond === undefined || this.admits(server) ? 0 : WINDOW_MILLISECONDS / perWindow(perSecond);
    }

    #find({ id, startedAt }: ServerStart): KnownLimit | undefined {
        const known = this.#limits.get(id);
        return known?.startedAt === startedAt ? known : undefined;
    }

    /** Position of this instance in the order of a server, which turns so that the last ones use a low limit too. */
    #positionOf(id: string, instances: number): number {
        const { rankOf, unixTime = Date.now } = this.options;
        return (rankOf(id) + Math.floor(unixTime() / TURN_MILLISECONDS)) % instances;
    }

    #computeOthers(id: string, known: KnownLimit, limit: number, now: number): NonNullable<KnownLimit["others"]> {
        const { version } = this.usage;
        const last = known.others;
        if (last?.version === version && now - last.at < OTHERS_LIFETIME_MILLISECONDS) {
            return last;
        }
        const instances = this.options.instanceCount();
        known.others = { at: now, version, instances, ...this.usage.usageOfOthers(id, limit) };
        return known.others;
    }

    #set(server: ServerStart, perSecond: number | undefined, at: number, source: "answer" | "peer"): void {
        const { directory, metrics, logger } = this.options;
        const { id, startedAt } = server;
        const registered = directory.servers.get(id);
        const last = this.#limits.get(id);
        const known = last?.startedAt === startedAt ? last : undefined;
        if (registered?.startedAt !== startedAt || (!known && perSecond === undefined) || (known && known.at > at)) {
            return;
        }
        if (source === "peer" && known && mayBeOlder(known, perSecond, at - NOTICE_TRANSIT_MILLISECONDS)) {
            return;
        }
        this.#limits.set(id, {
            startedAt,
            perSecond,
            at,
            firsthand: source === "answer",
            loggedAt: known?.loggedAt ?? -Infinity,
            others: known?.perSecond === perSecond ? known?.others : undefined,
        });
        if (known && known.perSecond === perSecond) {
            return;
        }
        this.#version++;
        const change = perSecond === undefined ? "ended" : known?.perSecond === undefined ? "named" : "changed";
        metrics.increment("server_limits_total", { change, source });
        logger.info("server's limit", {
            server: id,
            startedAt,
            service: registered.service,
            change,
            source,
            perSecond,
            before: known?.perSecond,
        });
    }

    #recordMalformed({ id }: ServerStart, text: string): void {
        const { metrics, logger } = this.options;
        const value = text.slice(0, LOGGED_CHARACTERS);
        metrics.increment("server_limits_total", { change: "malformed", source: "answer" });
        if (this.#lastMalformed !== `${id} ${value}`) {
            this.#lastMalformed = `${id} ${value}`;
            logger.info("server's limit is not usable", { server: id, value });
        }
    }

    #logFull(server: string, fields: Record<string, number>): void {
        const now = this.options.clock.now();
        const known = this.#limits.get(server);
        if (known && now - known.loggedAt >= LOG_PERIOD_MILLISECONDS) {
            known.loggedAt = now;
            this.options.logger.info("server is at its limit", { server, ...fields });
        }
    }

    /** Forgets the limits of servers that are gone, and those that ended long ago. */
    #forget(now: number): void {
        for (const [id, { startedAt, perSecond, at }] of this.#limits) {
            const isGone = this.options.directory.servers.get(id)?.startedAt !== startedAt;
            if (isGone || (perSecond === undefined && now - at > ENDED_MILLISECONDS)) {
                this.#limits.delete(id);
                this.#unheard.delete(id);
            }
        }
    }
}

/** Requests in a window. At least one, as only an answer can tell that a limit has ended. */
function perWindow(perSecond: number): number {
    return Math.max(1, perSecond * WINDOW_MILLISECONDS / MILLISECONDS_PER_SECOND);
}
