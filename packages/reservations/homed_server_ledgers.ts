import { monotonicMilliseconds, PeriodicTask } from "../clocks/mod.ts";
import { type ConfigurationDocument, type ConfigurationState, isDrained } from "../configuration/mod.ts";
import type { EnginePool } from "../engines/mod.ts";
import type { HomedState } from "../homes/mod.ts";
import { instanceId, type InstancePool, type InstanceServer } from "../instances/mod.ts";
import type { Invariants } from "../invariants/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { HomeKey, Member, Membership } from "../membership/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import { CrashDetector } from "./_crash_detector.ts";
import type { HeldReservation } from "./held_reservation.ts";
import { reservationParameters } from "./reservation_parameters.ts";
import { reservationTimes } from "./reservation_times.ts";
import type { ReserveResponse } from "./reserve_response.ts";
import { ServerLedger } from "./server_ledger.ts";

const GROUP_PREFIX = "server/";
const CALL_TIMEOUT_MILLISECONDS = 1_000;
const NOT_HOME: ReserveResponse = { granted: false, why: "not-home", free: 0, waiting: 0 };

/** What the state works with. */
interface ServerStateOptions {
    configuration: ConfigurationState;
    membership: Membership;
    pool: InstancePool;
    server: InstanceServer;
    engines: EnginePool;
    invariants: Invariants;
    metrics: Metrics;
    logger: Logger;
    /** Tells every instance that a server crashed while a request held a reservation there. */
    reportCrash: (fingerprint: string, server: string, role: "prefill" | "decode") => void;
}

/** A ledger with the task that compares it with its engine. */
interface Tended {
    ledger: ServerLedger;
    sweep: PeriodicTask;
    watch: CrashDetector;
}

/**
 * The ledgers of the backend servers that this instance is the home of.
 *
 * @example
 * ```ts
 * const servers = new ServerState(options);
 * const homes = new Homes([servers], homesOptions);
 * ```
 */
export class HomedServerLedgers implements HomedState {
    readonly #tended = new Map<string, Tended>();

    /**
     * @param options What the state works with.
     */
    constructor(private readonly options: ServerStateOptions) {
        const { server, configuration } = options;
        server.handle("servers.reserve", reservationParameters.reserve, async request => {
            const ledger = this.#tended.get(request.server)?.ledger;
            if (!ledger) {
                return NOT_HOME;
            }
            const weight = configuration.document.organisations[request.organisation]?.weight ?? 1;
            const answer = await ledger.reserve(request, weight);
            const within = !answer.granted || ledger.reserved <= ledger.capacity;
            options.invariants.check("reservations-within-capacity", within, {
                server: request.server,
                reserved: ledger.reserved,
            });
            return answer;
        });
        server.handle("servers.release", reservationParameters.release, async ({ server: name, id, outcome }) => {
            const tended = this.#tended.get(name);
            if (tended && outcome === "failed") {
                return { crashed: await this.#releaseFailed(name, tended, id) };
            }
            if (outcome !== "failed") {
                tended?.ledger.release(id, outcome);
            }
            return { crashed: true };
        });
        configuration.onChange(document => this.#reconfigure(document));
    }

    /** @inheritdoc */
    keys(document: ConfigurationDocument): HomeKey[] {
        return Object.entries(document.backendServers)
            .filter(([, server]) => server.role !== "service")
            .map(([name]) => ({ group: `${GROUP_PREFIX}${name}`, index: 0 }));
    }

    /** @inheritdoc */
    activate(key: HomeKey, handover: unknown): void {
        const name = key.group.slice(GROUP_PREFIX.length);
        const server = this.options.configuration.document.backendServers[name];
        if (!server || this.#tended.has(name)) {
            return;
        }
        const ledger = new ServerLedger(server.capacity, readHandover(handover));
        ledger.setDrained(isDrained(this.options.configuration.document, name));
        ledger.onVoid(ids => this.#voidAll(name, ledger, ids));
        const watch = new CrashDetector(() => {
            ledger.pause();
            void this.#sweep(name, ledger, watch);
        });
        const sweep = new PeriodicTask(
            reservationTimes.sweepMilliseconds,
            () => this.#sweep(name, ledger, watch),
            error => this.options.logger.error("cannot sweep a server", { server: name, error: String(error) }),
        );
        this.#tended.set(name, { ledger, sweep, watch });
        void this.#open(name, ledger);
    }

    /** @inheritdoc */
    deactivate(key: HomeKey): unknown {
        const name = key.group.slice(GROUP_PREFIX.length);
        const tended = this.#tended.get(name);
        this.#tended.delete(name);
        tended?.watch.close();
        void tended?.sweep.close();
        return tended?.ledger.close();
    }

    /**
     * Describes the ledgers for operators.
     *
     * @returns One row a server.
     */
    describe(): {
        server: string;
        capacity: number;
        reserved: number;
        allowed: number;
        waiting: number;
        down: boolean;
    }[] {
        return [...this.#tended].map(([server, { ledger }]) => ({
            server,
            capacity: ledger.capacity,
            reserved: ledger.reserved,
            allowed: ledger.allowed,
            waiting: ledger.waiting,
            down: ledger.down,
        }));
    }

    /** Stops the tasks. */
    async close(): Promise<void> {
        this.#tended.forEach(({ watch }) => watch.close());
        await Promise.all([...this.#tended.values()].map(({ sweep }) => sweep.close()));
    }

    /**
     * Collects what every instance holds of a server before anything is granted. An instance that does not answer may
     * hold a reservation that it has not used yet, which is void after its validity.
     */
    async #open(name: string, ledger: ServerLedger): Promise<void> {
        const { membership } = this.options;
        const until = monotonicMilliseconds() + reservationTimes.validityMilliseconds;
        let silent: Member[] = membership.record.members;
        while (silent.length > 0 && monotonicMilliseconds() < until) {
            const answers = await Promise.all(silent.map(member => this.#askHoldings(member, name, ledger)));
            silent = silent.filter((member, index) => !answers[index] && !membership.isGone(instanceId(member)));
        }
        ledger.open();
    }

    async #askHoldings(member: Member, name: string, ledger: ServerLedger): Promise<boolean> {
        const answer = await this.options.pool.call<HeldReservation[]>(
            member,
            "requests.holdings",
            { servers: [name] },
            CALL_TIMEOUT_MILLISECONDS,
        );
        if (answer.isErr()) {
            return false;
        }
        ledger.importReservations(answer.value);
        return true;
    }

    /** A broken connection alone does not prove a crash: the engine's boot id tells. */
    async #releaseFailed(name: string, { ledger, watch }: Tended, id: string): Promise<boolean> {
        ledger.pause();
        await this.#sweep(name, ledger, watch);
        const crashed = ledger.hasFailedSinceGrant(id);
        if (crashed) {
            // The instance that saw the crash may end before it has told the others.
            this.#reportCrash(name, ledger, [id]);
        }
        ledger.release(id, "unused");
        return crashed;
    }

    /** Compares the ledger with the engine, asks owners about old reservations and cancels what nobody holds. */
    async #sweep(name: string, ledger: ServerLedger, watch: CrashDetector): Promise<void> {
        const server = this.options.configuration.document.backendServers[name];
        if (!server || this.#tended.get(name)?.ledger !== ledger) {
            return;
        }
        const engine = this.options.engines.at(server.address);
        const askedAt = monotonicMilliseconds();
        const report = await engine.report();
        if (report.isErr()) {
            ledger.markDown();
            return;
        }
        ledger.reconcile(report.value, askedAt);
        watch.watch(server.address);
        await this.#confirmOwners(name, ledger);
        for (const id of ledger.orphans()) {
            this.options.metrics.increment("orphans_cancelled_total");
            await engine.cancel(id);
        }
    }

    #voidAll(server: string, ledger: ServerLedger, ids: string[]): void {
        for (const [owner, owned] of groupByOwner(ids)) {
            void this.#voidOwned(server, ledger, owner, owned);
        }
    }

    async #voidOwned(server: string, ledger: ServerLedger, owner: string, ids: string[]): Promise<void> {
        const { membership, pool } = this.options;
        // The reservations may have been given back by the time of the answer.
        const suspects = ledger.voidedFingerprints(ids);
        const answer = await pool.call(membership.find(owner), "requests.void", { server, ids });
        if (answer.isErr()) {
            this.#reportCrashes(server, suspects);
        }
    }

    #reportCrash(server: string, ledger: ServerLedger, ids: string[]): void {
        this.#reportCrashes(server, ledger.voidedFingerprints(ids));
    }

    #reportCrashes(server: string, fingerprints: string[]): void {
        const role = this.options.configuration.document.backendServers[server]?.role;
        if (role === "prefill" || role === "decode") {
            fingerprints.forEach(fingerprint => this.options.reportCrash(fingerprint, server, role));
        }
    }

    async #confirmOwners(server: string, ledger: ServerLedger): Promise<void> {
        const idsByOwner = groupByOwner(ledger.unconfirmed());
        await Promise.all([...idsByOwner].map(([owner, ids]) => this.#confirmOwner(server, ledger, owner, ids)));
    }

    async #confirmOwner(server: string, ledger: ServerLedger, owner: string, ids: string[]): Promise<void> {
        const { membership, pool } = this.options;
        if (membership.isGone(owner)) {
            this.#reportCrash(server, ledger, ids);
            ids.forEach(id => ledger.confirm(id, false));
            return;
        }
        const answer = await pool.call<string[]>(
            membership.find(owner),
            "requests.held",
            { ids },
            CALL_TIMEOUT_MILLISECONDS,
        );
        if (answer.isOk()) {
            const held = new Set(answer.value);
            ids.forEach(id => ledger.confirm(id, held.has(id)));
        }
    }

    #reconfigure(document: ConfigurationDocument): void {
        for (const [name, { ledger }] of this.#tended) {
            ledger.setCapacity(document.backendServers[name]?.capacity ?? ledger.capacity);
            ledger.setDrained(isDrained(document, name));
        }
    }
}

/** Request ids are the id of the instance that the caller is connected to and a number. */
function ownerOf(id: string): string {
    return id.slice(0, id.lastIndexOf("/"));
}

function groupByOwner(ids: string[]): Map<string, string[]> {
    const idsByOwner = new Map<string, string[]>();
    for (const id of ids) {
        const owner = ownerOf(id);
        idsByOwner.set(owner, [...idsByOwner.get(owner) ?? [], id]);
    }
    return idsByOwner;
}

function readHandover(handover: unknown): { allowed?: number; bootId?: string; } {
    const { allowed, bootId } = (handover ?? {}) as { allowed?: unknown; bootId?: unknown; };
    return {
        ...(typeof allowed === "number" ? { allowed } : {}),
        ...(typeof bootId === "string" ? { bootId } : {}),
    };
}
