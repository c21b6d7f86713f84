import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { DirectoryEvent } from "./directory_event.ts";
import type { FleetConfiguration } from "./fleet_configuration.ts";
import type { OrganisationProfile } from "./organisation_profile.ts";
import type { RegisteredServer } from "./registered_server.ts";
import type { RolloutOrder } from "./rollout_order.ts";
import type { ServiceProfile } from "./service_profile.ts";
import type { TrafficRoute } from "./traffic_route.ts";

/**
 * Routes, services, organisations, backend servers and drained failure domains as this instance knows them.
 *
 * @example
 * ```ts
 * const directory = new Directory();
 * directory.apply({ kind: "domain-drained", failureDomain: "north" });
 * directory.isDrained("north"); // true
 * ```
 */
export class Directory {
    #configuration: FleetConfiguration | undefined;
    #routesByHost = new Map<string, TrafficRoute[]>();
    #services = new Map<string, ServiceProfile>();
    #organisationsByKey = new Map<string, OrganisationProfile>();
    readonly #servers = new Map<string, RegisteredServer>();
    readonly #coldUntil = new Map<string, number>();
    readonly #drainedDomains = new Set<string>();
    readonly #rolloutOrders = new Map<string, RolloutOrder>();
    readonly #listeners: (() => void)[] = [];
    readonly #batchListeners: (() => void)[] = [];
    #isBatchOpen = false;

    /** The configuration in force; undefined until the first one is applied. */
    get configuration(): FleetConfiguration | undefined {
        return this.#configuration;
    }

    /** Registered servers by id, including those that are draining. */
    get servers(): ReadonlyMap<string, RegisteredServer> {
        return this.#servers;
    }

    /** Orders to move services to other versions, by service. */
    get rolloutOrders(): ReadonlyMap<string, RolloutOrder> {
        return this.#rolloutOrders;
    }

    /**
     * Registers a listener that runs after each change.
     *
     * @param listener The listener.
     */
    onChange(listener: () => void): void {
        this.#listeners.push(listener);
    }

    /**
     * Registers a listener that runs once after the changes that are applied in one turn. What passes over all servers belongs
     * here, since the store brings many changes together.
     *
     * @param listener The listener.
     */
    onBatch(listener: () => void): void {
        this.#batchListeners.push(listener);
    }

    /**
     * Applies a change. A configuration with a lower version than the one in force has no effect.
     *
     * @param event The change.
     */
    apply(event: DirectoryEvent): void {
        switch (event.kind) {
            case "configuration":
                this.#applyConfiguration(event.configuration);
                break;
            case "server":
                this.#register(event.server);
                break;
            case "server-removed":
                this.#servers.delete(event.id);
                this.#coldUntil.delete(event.id);
                break;
            case "domain-drained":
                this.#drainedDomains.add(event.failureDomain);
                break;
            case "domain-restored":
                this.#drainedDomains.delete(event.failureDomain);
                break;
            case "rollout-ordered":
                this.#rolloutOrders.set(event.order.service, event.order);
                break;
            case "rollout-withdrawn":
                this.#rolloutOrders.delete(event.service);
                break;
            case "unreadable":
                return;
        }
        this.#listeners.forEach(listener => listener());
        if (!this.#isBatchOpen) {
            this.#isBatchOpen = true;
            queueMicrotask(() => {
                this.#isBatchOpen = false;
                this.#batchListeners.forEach(listener => listener());
            });
        }
    }

    /**
     * Finds the route of a request: the route of its host with the longest prefix of its path.
     *
     * @param host Value of the Host header, with or without a port.
     * @param path Path, with or without a query.
     * @returns The route, or undefined.
     */
    findRoute(host: string, path: string): TrafficRoute | undefined {
        const name = host.toLowerCase().replace(/:\d+$/, "");
        return this.#routesByHost.get(name)?.find(route => path.startsWith(route.pathPrefix));
    }

    /**
     * Finds the organisation that an API key belongs to.
     *
     * @param key The key.
     * @returns The organisation, or undefined.
     */
    findOrganisation(key: string): OrganisationProfile | undefined {
        return this.#organisationsByKey.get(key);
    }

    /**
     * Finds a service.
     *
     * @param name Name of the service.
     * @returns The service, or undefined.
     */
    findService(name: string): ServiceProfile | undefined {
        return this.#services.get(name);
    }

    /**
     * Returns whether a failure domain is drained.
     *
     * @param failureDomain Name of the failure domain.
     * @returns Whether it is.
     */
    isDrained(failureDomain: string): boolean {
        return this.#drainedDomains.has(failureDomain);
    }

    /**
     * Lists the servers of a service that may get new requests.
     *
     * @param service Name of the service.
     * @returns The servers.
     */
    usableServers(service: string): RegisteredServer[] {
        const usable: RegisteredServer[] = [];
        for (const server of this.#servers.values()) {
            if (server.service === service && this.isUsable(server)) {
                usable.push(server);
            }
        }
        return usable;
    }

    /**
     * Returns whether a server that was found earlier may still get new requests.
     *
     * @param server The server as it was registered then.
     * @returns Whether it may.
     */
    isUsable(server: RegisteredServer): boolean {
        const registered = this.#servers.get(server.id);
        return registered !== undefined && registered.address === server.address
            && registered.service === server.service
            && !registered.leaving && !this.#drainedDomains.has(registered.failureDomain);
    }

    /**
     * Returns whether a server is cold: it has just started and handles only few requests.
     *
     * @param id Id of the server.
     * @returns Whether it is.
     */
    isCold(id: string): boolean {
        return (this.#coldUntil.get(id) ?? 0) > monotonicMilliseconds();
    }

    /**
     * Marks a server as cold.
     *
     * @param id Id of the server.
     * @param milliseconds Time for which it stays cold.
     */
    markCold(id: string, milliseconds: number): void {
        this.#coldUntil.set(id, monotonicMilliseconds() + milliseconds);
    }

    #applyConfiguration(configuration: FleetConfiguration): void {
        if (this.#configuration && configuration.version < this.#configuration.version) {
            return;
        }
        this.#configuration = configuration;
        this.#routesByHost = new Map();
        for (const route of configuration.routes) {
            const routes = this.#routesByHost.get(route.host) ?? [];
            routes.push(route);
            this.#routesByHost.set(route.host, routes);
        }
        for (const routes of this.#routesByHost.values()) {
            routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
        }
        this.#services = new Map(configuration.services.map(service => [service.name, service]));
        this.#organisationsByKey = new Map();
        for (const organisation of configuration.organisations ?? []) {
            for (const key of organisation.keys) {
                this.#organisationsByKey.set(key, organisation);
            }
        }
    }

    #register(server: RegisteredServer): void {
        const previous = this.#servers.get(server.id);
        this.#servers.set(server.id, server);
        if (server.coldMilliseconds > 0) {
            this.markCold(server.id, server.coldMilliseconds);
        }
        else if (previous && previous.startedAt === server.startedAt) {
            this.#coldUntil.delete(server.id);
        }
    }
}
