import { monotonicMilliseconds, PeriodicTask } from "../clocks/mod.ts";
import { type ConfigurationDocument, type ConfigurationState, isDrained } from "../configuration/mod.ts";
import type { EnginePool } from "../engines/mod.ts";
import type { HomedState } from "../homes/mod.ts";
import { instanceId, type InstancePool, type InstanceServer } from "../instances/mod.ts";
import type { Invariants } from "../invariants/mod.ts";
import { logFailure, type Logger } from "../logs/mod.ts";
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

/** Dependencies of {@linkcode HomedServerLedgers}. */
interface HomedServerLedgersOptions {
    configuration: ConfigurationState;
    membership: Membership;
    pool: InstancePool;
    server: InstanceServer;
    engines: EnginePool;
    invariants: Invariants;
    metrics: Metrics;
    logger: Logger;
    /** Reports to every instance that a server crashed while a request held a reservation there. */
    reportCrash: (fingerprint: string, server: string, role: "prefill" | "decode") => void;
}

/** A ledger with the task that reconciles it with its engine. */
interface HomedLedger {
    ledger: ServerLedger;
    reconcileTask: PeriodicTask;
    watch: CrashDetector;
}

/**
 * Ledgers of the backend servers that this instance is the home of.
 *
 * @example
 * ```ts
 * const ledgers = new HomedServerLedgers(options);
 * const homes = new HomeManager([ledgers], homeManagerOptions);
 * ```
 */
export class HomedServerLedgers implements HomedState {
    readonly #ledgers = new Map<string, HomedLedger>();

    /**
     * @param options Dependencies of the ledgers.
     */
    constructor(private readonly options: HomedServerLedgersOptions) {
        const { server, configuration } = options;
        server.handle("servers.reserve", reservationParameters.reserve, async request => {
            const ledger = this.#ledgers.get(request.server)?.ledger;
            if (!ledger) {
                return NOT_HOME;
            }
            const weight = configuration.document.organisations[request.organisation]?.weight ?? 1;
            const response = await ledger.reserve(request, weight);
            const withinCapacity = !response.granted || ledger.reserved <= ledger.capacity;
            options.invariants.check("reservations-within-capacity", withinCapacity, {
                server: request.server,
                reserved: ledger.reserved,
            });
            return response;
        });
        server.handle("servers.release", reservationParameters.release, async ({ server: name, id, outcome }) => {
            const homed = this.#ledgers.get(name);
            if (homed && outcome === "failed") {
                return { crashed: await this.#releaseFailed(name, homed, id) };
            }
            if (outcome !== "failed") {
                homed?.ledger.release(id, outcome);
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
        if (!server || this.#ledgers.has(name)) {
            return;
        }
        const ledger = new ServerLedger(server.capacity, parseHandover(handover));
        ledger.setDrained(isDrained(this.options.configuration.document, name));
        ledger.onVoid(ids => this.#voidAll(name, ledger, ids));
        const { logger } = this.options;
        const onError = logFailure(logger, "failed to reconcile a server ledger with its engine", { server: name });
        const crashDetector = new CrashDetector(() => {
            ledger.pause();
            this.#reconcile(name, ledger, crashDetector).catch(onError);
        });
        const reconcileTask = new PeriodicTask(
            reservationTimes.reconcileIntervalMilliseconds,
            () => this.#reconcile(name, ledger, crashDetector),
            onError,
        );
        this.#ledgers.set(name, { ledger, reconcileTask, watch: crashDetector });
        this.#openLedger(name, ledger).catch(logFailure(logger, "failed to open a server ledger", { server: name }));
    }

    /** @inheritdoc */
    deactivate(key: HomeKey): unknown {
        const name = key.group.slice(GROUP_PREFIX.length);
        const homed = this.#ledgers.get(name);
        this.#ledgers.delete(name);
        homed?.watch.close();
        void homed?.reconcileTask.close();
        return homed?.ledger.close();
    }

    /**
     * Returns the state of the ledgers for operators.
     *
     * @returns One row per server.
     */
    describe(): {
        server: string;
        capacity: number;
        reserved: number;
        allowed: number;
        waiting: number;
        down: boolean;
    }[] {
        return [...this.#ledgers].map(([server, { ledger }]) => ({
            server,
            capacity: ledger.capacity,
            reserved: ledger.reserved,
            allowed: ledger.allowed,
            waiting: ledger.waiting,
            down: ledger.down,
        }));
    }

    /** Stops the tasks and closes the connections. */
    async close(): Promise<void> {
        this.#ledgers.forEach(({ watch }) => watch.close());
        await Promise.all([...this.#ledgers.values()].map(({ reconcileTask }) => reconcileTask.close()));
    }

    /**
     * Collects the reservations of every instance at a server before anything is granted. An instance that does not
     * respond may hold a reservation that it has not used yet; that reservation expires at the end of its validity.
     */
    async #openLedger(name: string, ledger: ServerLedger): Promise<void> {
        const { membership } = this.options;
        const deadline = monotonicMilliseconds() + reservationTimes.validityMilliseconds;
        let pendingMembers: Member[] = membership.record.members;
        while (pendingMembers.length > 0 && monotonicMilliseconds() < deadline) {
            const responded = await Promise.all(
                pendingMembers.map(member => this.#importHeldReservations(member, name, ledger)),
            );
            pendingMembers = pendingMembers.filter((member, index) =>
                !responded[index] && !membership.hasLeftOrTerminated(instanceId(member))
            );
        }
        ledger.open();
    }

    async #importHeldReservations(member: Member, name: string, ledger: ServerLedger): Promise<boolean> {
        const response = await this.options.pool.call<HeldReservation[]>(
            member,
            "requests.holdings",
            { servers: [name] },
            CALL_TIMEOUT_MILLISECONDS,
        );
        if (response.isErr()) {
            return false;
        }
        ledger.importReservations(response.value);
        return true;
    }

    /**
     * Releases a reservation whose use failed and returns whether the server has crashed. A broken connection alone
     * does not prove a crash: the server must be down or have a new boot id.
     */
    async #releaseFailed(name: string, { ledger, watch: crashDetector }: HomedLedger, id: string): Promise<boolean> {
        ledger.pause();
        await this.#reconcile(name, ledger, crashDetector);
        const crashed = ledger.hasFailedSinceGrant(id);
        if (crashed) {
            // The instance that observed the crash may exit before it has reported it to the others.
            this.#reportVoided(name, ledger, [id]);
        }
        ledger.release(id, "unused");
        return crashed;
    }

    /** Reconciles the ledger with the engine, confirms old reservations with their owners and cancels orphans. */
    async #reconcile(name: string, ledger: ServerLedger, crashDetector: CrashDetector): Promise<void> {
        const server = this.options.configuration.document.backendServers[name];
        if (!server || this.#ledgers.get(name)?.ledger !== ledger) {
            return;
        }
        const engine = this.options.engines.at(server.address);
        const requestedAt = monotonicMilliseconds();
        const report = await engine.report();
        if (report.isErr()) {
            ledger.markDown();
            return;
        }
        ledger.reconcile(report.value, requestedAt);
        crashDetector.watch(server.address);
        await this.#confirmOwners(name, ledger);
        for (const id of ledger.listOrphans()) {
            this.options.metrics.increment("orphans_cancelled_total");
            await engine.cancel(id);
        }
    }

    #voidAll(server: string, ledger: ServerLedger, ids: string[]): void {
        for (const [owner, owned] of groupByOwner(ids)) {
            const onError = logFailure(this.options.logger, "failed to void reservations", { server, owner });
            this.#voidOwned(server, ledger, owner, owned).catch(onError);
        }
    }

    async #voidOwned(server: string, ledger: ServerLedger, owner: string, ids: string[]): Promise<void> {
        const { membership, pool } = this.options;
        // Collected before the call, since the reservations may be released before the response arrives.
        const suspects = ledger.voidedFingerprints(ids);
        const response = await pool.call(membership.findMember(owner), "requests.void", { server, ids });
        if (response.isErr()) {
            this.#reportSuspects(server, suspects);
        }
    }

    #reportVoided(server: string, ledger: ServerLedger, ids: string[]): void {
        this.#reportSuspects(server, ledger.voidedFingerprints(ids));
    }

    #reportSuspects(server: string, fingerprints: string[]): void {
        const role = this.options.configuration.document.backendServers[server]?.role;
        if (role === "prefill" || role === "decode") {
            fingerprints.forEach(fingerprint => this.options.reportCrash(fingerprint, server, role));
        }
    }

    async #confirmOwners(server: string, ledger: ServerLedger): Promise<void> {
        const idsByOwner = groupByOwner(ledger.listUnconfirmed());
        await Promise.all([...idsByOwner].map(([owner, ids]) => this.#confirmOwner(server, ledger, owner, ids)));
    }

    async #confirmOwner(server: string, ledger: ServerLedger, owner: string, ids: string[]): Promise<void> {
        const { membership, pool } = this.options;
        if (membership.hasLeftOrTerminated(owner)) {
            this.#reportVoided(server, ledger, ids);
            ids.forEach(id => ledger.confirm(id, false));
            return;
        }
        const response = await pool.call<string[]>(
            membership.findMember(owner),
            "requests.held",
            { ids },
            CALL_TIMEOUT_MILLISECONDS,
        );
        if (response.isOk()) {
            const held = new Set(response.value);
            ids.forEach(id => ledger.confirm(id, held.has(id)));
        }
    }

    #reconfigure(document: ConfigurationDocument): void {
        for (const [name, { ledger }] of this.#ledgers) {
            ledger.setCapacity(document.backendServers[name]?.capacity ?? ledger.capacity);
            ledger.setDrained(isDrained(document, name));
        }
    }
}

/** Returns the id of the instance that the caller is connected to: the text before the last slash of a request id. */
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

function parseHandover(handover: unknown): { allowed?: number; bootId?: string; } {
    const { allowed, bootId } = (handover ?? {}) as { allowed?: unknown; bootId?: unknown; };
    return {
        ...(typeof allowed === "number" ? { allowed } : {}),
        ...(typeof bootId === "string" ? { bootId } : {}),
    };
}
