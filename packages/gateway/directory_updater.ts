import type { SuspensionAwareClock } from "../clocks/mod.ts";
import { type Directory, type DirectoryEvent, type RegisteredServer, RemovalDelay } from "../directory/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { ItemChange, ItemReplica } from "../replica/mod.ts";
import { CopyDoubt } from "./copy_doubt.ts";
import type { GatewayAdapter } from "./gateway_adapter.ts";
import type { GatewaySettings } from "./gateway_settings.ts";

/** Fraction of the time allowed to revoke an API key, above which the replica is too old to accept keys. */
const MAXIMUM_KEY_AGE_FRACTION = 0.65;
/** Largest age in milliseconds of the replica at which unknown routes and API keys are denied. */
const MAXIMUM_DENIAL_AGE_MILLISECONDS = 1_900;
/** Age of a replica that was never confirmed; log lines need a finite number. */
const UNCONFIRMED_AGE_MILLISECONDS = 1e9;

/** Dependencies of a {@linkcode DirectoryUpdater}. */
interface DirectoryUpdaterOptions {
    decodeItem: GatewayAdapter["decodeItem"];
    replica: ItemReplica;
    directory: Directory;
    clock: SuspensionAwareClock;
    bounds: () => GatewaySettings["bounds"];
    /** Whether the store says that an era was trusted. */
    isTrustedEra: (era: number) => boolean;
    metrics: Metrics;
    logger: Logger;
}

/**
 * Applies the changes of the replica to the directory, and decides whether the replica is recent enough to accept API
 * keys and to deny unknown routes and keys.
 *
 * @example
 * ```ts
 * const updater = new DirectoryUpdater({ decodeItem, replica, directory, clock, bounds, metrics, logger });
 * updater.canDenyUnknown(); // false before the first read of the store
 * updater.close();
 * ```
 */
export class DirectoryUpdater {
    readonly #removals: RemovalDelay;
    readonly #copyDoubt: CopyDoubt;

    /**
     * @param options Dependencies of the updater.
     */
    constructor(private readonly options: DirectoryUpdaterOptions) {
        const { replica, clock } = options;
        this.#copyDoubt = new CopyDoubt(replica, {
            now: () => clock.now(),
            isTrustedEra: era => options.isTrustedEra(era),
        });
        this.#removals = new RemovalDelay(
            id => this.#applyEvent({ kind: "server-removed", id }),
            overdueMilliseconds => this.age <= overdueMilliseconds,
        );
        replica.onChange(change => this.#applyChange(change));
        replica.onFill(position => {
            if (this.isCopyInDoubt) {
                options.logger.warn("store may have come back from an older copy before the first read", {
                    ...position,
                });
            }
        });
        replica.onEraChange(({ from, to, retained }) => {
            options.metrics.increment("store_returns_total");
            options.logger.warn("store has come back from an older copy", { from, to, retained });
        });
    }

    /** Age in milliseconds of the replica, counted from the start of the read that last confirmed it. */
    get age(): number {
        return Math.min(UNCONFIRMED_AGE_MILLISECONDS, this.options.clock.now() - this.options.replica.confirmedAt);
    }

    /** Whether the replica may lack what is written again after the store's return. */
    get isCopyInDoubt(): boolean {
        return this.#copyDoubt.isOpen;
    }

    /** Time in milliseconds from which on a read shows what was written again; undefined if none is awaited. */
    get awaitedReadAt(): number | undefined {
        return this.#copyDoubt.endsFrom;
    }

    /**
     * Returns the fields that describe the directory in the log line of a decision.
     *
     * @returns Version of the configuration, position of the replica, and its age in milliseconds.
     */
    logFields(): { configuration: number | undefined; era: number; revision: number; age: number; } {
        const { directory, replica } = this.options;
        const age = Math.round(this.age);
        return { configuration: directory.configuration?.version, ...replica.position, age };
    }

    /**
     * Returns whether the replica is recent enough to accept API keys, which may have been revoked since.
     *
     * @returns Whether keys may be accepted.
     */
    canAcceptKeys(): boolean {
        const { failClosed, revokeMilliseconds } = this.options.bounds();
        const age = this.options.clock.now() - this.#copyDoubt.confirmedAt;
        return !failClosed || age < revokeMilliseconds * MAXIMUM_KEY_AGE_FRACTION;
    }

    /**
     * Returns whether the replica is recent enough to deny routes and API keys that it lacks. It is not while the store's
     * copy may lack a configuration that the operator has yet to write again.
     *
     * @returns Whether they may be denied.
     */
    canDenyUnknown(): boolean {
        return this.age < MAXIMUM_DENIAL_AGE_MILLISECONDS && !this.#copyDoubt.isOpen;
    }

    /** Cancels delayed removals. */
    close(): void {
        this.#removals.close();
    }

    #applyChange(change: ItemChange): void {
        const { decodeItem, clock, directory, replica, metrics, logger } = this.options;
        if (change.kind === "missing") {
            this.#holdBackRemoval(decodeItem({ ...change, kind: "removed" }));
            return;
        }
        const event = decodeItem(change);
        if (!event) {
            return;
        }
        if (event.kind === "unreadable") {
            metrics.increment("unreadable_items_total");
            logger.warn("stored item cannot be read", { key: event.key, error: event.message });
            const removed = decodeItem({ kind: "removed", key: event.key, ...replica.position });
            if (removed) {
                this.#applyEvent(removed);
            }
            return;
        }
        // A removal of an earlier era was no loss of the store's: a peer has kept it since.
        const isPresentRemoval = event.kind === "server-removed" && change.kind === "removed"
            && change.era === replica.position.era;
        if (isPresentRemoval && replica.times.isRecovering(clock.now())) {
            this.#holdBackRemoval(event);
            return;
        }
        if (event.kind === "server") {
            this.#removals.cancel(event.server.id);
        }
        if (event.kind === "configuration" && change.kind === "written") {
            this.#copyDoubt.observe({
                version: event.configuration.version,
                position: change.item,
                versionInForce: directory.configuration?.version,
            });
        }
        this.#applyEvent(event);
    }

    /** Keeps a server until a read of the store shows that it has not registered again after an outage. */
    #holdBackRemoval(event: DirectoryEvent | undefined): void {
        const { clock, directory, replica, logger } = this.options;
        if (event?.kind === "server-removed" && directory.servers.has(event.id)) {
            const now = clock.now();
            const milliseconds = Math.max(0, Math.round(replica.times.recoveredFrom(now) - now));
            logger.info("removal of a server held back", { server: event.id, milliseconds, ...this.logFields() });
            this.#removals.schedule(event.id, milliseconds);
        }
    }

    #applyEvent(event: DirectoryEvent): void {
        if (event.kind === "server-removed" && !this.options.directory.servers.has(event.id)) {
            return;
        }
        this.#logEvent(event);
        this.options.directory.apply(event);
    }

    #logEvent(event: DirectoryEvent): void {
        const { directory, logger } = this.options;
        const { era, revision, age } = this.logFields();
        switch (event.kind) {
            case "configuration": {
                const { version, routes, services, organisations } = event.configuration;
                const replaced = directory.configuration?.version;
                logger.info("configuration read", {
                    configuration: version,
                    replaced,
                    outcome: replaced !== undefined && version < replaced ? "older than the current one" : "in force",
                    routes: routes.length,
                    services: services.length,
                    organisations: organisations?.length,
                    era,
                    revision,
                    age,
                });
                break;
            }
            case "server": {
                const { id, service, stage, softwareVersion, leaving, startedAt } = event.server;
                if (hasChanged(directory.servers.get(id), event.server)) {
                    logger.info("server registered", {
                        server: id,
                        service,
                        stage,
                        softwareVersion,
                        leaving,
                        startedAt,
                        era,
                        revision,
                        age,
                    });
                }
                break;
            }
            case "server-removed":
                logger.info("server removed", { server: event.id, era, revision, age });
                break;
            case "domain-drained":
            case "domain-restored":
                logger.info("failure domain changed", {
                    failureDomain: event.failureDomain,
                    outcome: event.kind === "domain-drained" ? "drained" : "restored",
                    era,
                    revision,
                    age,
                });
                break;
            case "rollout-ordered":
                logger.info("roll-out ordered", { ...event.order, era, revision, age });
                break;
            case "rollout-withdrawn":
                logger.info("roll-out withdrawn", { service: event.service, era, revision, age });
                break;
            case "unreadable":
        }
    }
}

/** Whether a registration differs from the previous one in more than its renewal. */
function hasChanged(before: RegisteredServer | undefined, after: RegisteredServer): boolean {
    return before?.address !== after.address || before.stage !== after.stage || before.leaving !== after.leaving
        || before.startedAt !== after.startedAt || before.service !== after.service
        || before.softwareVersion !== after.softwareVersion;
}
