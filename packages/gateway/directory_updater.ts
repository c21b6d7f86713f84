import type { SuspensionAwareClock } from "../clocks/mod.ts";
import { type Directory, type DirectoryEvent, type RegisteredServer, RemovalDelay } from "../directory/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { ItemChange, ItemReplica } from "../replica/mod.ts";
import type { GatewayAdapter } from "./gateway_adapter.ts";
import type { GatewaySettings } from "./gateway_settings.ts";

/** Part of the time to withdraw a key after which knowledge of keys is too old. */
const STALE_SHARE = 0.65;
/** Age in milliseconds of the configuration up to which missing routes and keys are denied. */
const FRESH_MILLISECONDS = 1_900;
/** Time in milliseconds that the removal of a server is held back while the store recovers. */
const REMOVAL_MILLISECONDS = 1_700;
/** Age that stands for knowledge that was never confirmed, as a log line needs a number. */
const NEVER_MILLISECONDS = 1e9;

/** What {@linkcode DirectoryUpdater} works with. */
interface KnowledgeOptions {
    decodeItem: GatewayAdapter["decodeItem"];
    replica: ItemReplica;
    directory: Directory;
    clock: SuspensionAwareClock;
    bounds: () => GatewaySettings["bounds"];
    metrics: Metrics;
    logger: Logger;
}

/**
 * What an instance holds for true: the directory, kept in step with the copy of the store, and how old that copy is.
 *
 * @example
 * ```ts
 * const knowledge = new Knowledge({ decodeItem, replica, directory, clock, bounds, metrics, logger });
 * knowledge.isCurrent(); // false before the first read of the store
 * knowledge.close();
 * ```
 */
export class DirectoryUpdater {
    readonly #removals: RemovalDelay;

    /**
     * @param options What it works with.
     */
    constructor(private readonly options: KnowledgeOptions) {
        const { replica } = options;
        this.#removals = new RemovalDelay(id => this.#enter({ kind: "server-removed", id }));
        replica.onChange(change => this.#apply(change));
    }

    /** Age in milliseconds of the copy of the store, counted from before the read that last confirmed it. */
    get age(): number {
        return Math.min(NEVER_MILLISECONDS, this.options.clock.now() - this.options.replica.confirmedAt);
    }

    /**
     * Describes the knowledge behind a decision, for its log line.
     *
     * @returns Version of the configuration, revision of the copy of the store, and its age in milliseconds.
     */
    logFields(): { configuration: number | undefined; revision: number; age: number; } {
        const { directory, replica } = this.options;
        const age = Math.round(this.age);
        return { configuration: directory.configuration?.version, revision: replica.revision, age };
    }

    /**
     * Tells whether keys may be accepted, given how old the knowledge of withdrawals is.
     *
     * @returns Whether they may.
     */
    canAcceptKeys(): boolean {
        const { failClosed, revokeMilliseconds } = this.options.bounds();
        return !failClosed || this.age < revokeMilliseconds * STALE_SHARE;
    }

    /**
     * Tells whether a key that was accepted may still be used.
     *
     * @param key The key.
     * @returns Whether it may.
     */
    canAcceptKey(key: string): boolean {
        const { directory } = this.options;
        const withdrawn = directory.configuration?.organisations && !directory.findOrganisation(key);
        return !withdrawn && this.canAcceptKeys();
    }

    /**
     * Tells whether the configuration has been confirmed so recently that what it lacks may be denied.
     *
     * @returns Whether it has.
     */
    canDenyUnknown(): boolean {
        return this.age < FRESH_MILLISECONDS;
    }

    /** Forgets removals that are held back. */
    close(): void {
        this.#removals.close();
    }

    #apply(change: ItemChange): void {
        const { decodeItem, clock, replica, metrics, logger } = this.options;
        const event = decodeItem(change);
        if (!event) {
            return;
        }
        if (event.kind === "unreadable") {
            metrics.increment("unreadable_items_total");
            logger.warn("stored item cannot be read", { key: event.key, error: event.message });
            const removed = decodeItem({ kind: "removed", key: event.key, revision: 0 });
            if (removed) {
                this.#enter(removed);
            }
            return;
        }
        if (event.kind === "server-removed" && replica.isRecovering(clock.now())) {
            logger.info("removal of a server held back", { server: event.id, ...this.logFields() });
            this.#removals.schedule(event.id, REMOVAL_MILLISECONDS);
            return;
        }
        if (event.kind === "server") {
            this.#removals.cancel(event.server.id);
        }
        this.#enter(event);
    }

    #enter(event: DirectoryEvent): void {
        this.#log(event);
        this.options.directory.apply(event);
    }

    #log(event: DirectoryEvent): void {
        const { directory, logger } = this.options;
        const { revision, age } = this.logFields();
        switch (event.kind) {
            case "configuration": {
                const { version, routes, services, organisations } = event.configuration;
                const replaced = directory.configuration?.version;
                logger.info("configuration read", {
                    configuration: version,
                    replaced,
                    outcome: replaced !== undefined && version < replaced ? "older than the present one" : "in force",
                    routes: routes.length,
                    services: services.length,
                    organisations: organisations?.length,
                    revision,
                    age,
                });
                break;
            }
            case "server": {
                const { id, service, stage, leaving, startedAt } = event.server;
                if (isNews(directory.servers.get(id), event.server)) {
                    logger.info("server registered", { server: id, service, stage, leaving, startedAt, revision, age });
                }
                break;
            }
            case "server-removed":
                logger.info("server removed", { server: event.id, revision, age });
                break;
            case "domain-drained":
            case "domain-restored":
                logger.info("failure domain changed", {
                    failureDomain: event.failureDomain,
                    outcome: event.kind === "domain-drained" ? "drained" : "restored",
                    revision,
                    age,
                });
                break;
            case "unreadable":
        }
    }
}

/** Whether an entry tells more than that its server lives. */
function isNews(before: RegisteredServer | undefined, after: RegisteredServer): boolean {
    return before?.address !== after.address || before.stage !== after.stage || before.leaving !== after.leaving
        || before.startedAt !== after.startedAt || before.service !== after.service;
}
