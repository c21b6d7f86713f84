import type { SuspensionAwareClock } from "../clocks/mod.ts";
import type { CoordinationStore } from "../coordination/mod.ts";
import type { Directory } from "../directory/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { ItemReplica } from "../replica/mod.ts";
import { formatVersionList } from "./_format_version_list.ts";
import { parseVersionList } from "./_parse_version_list.ts";
import type { VersionEvidence } from "./version_evidence.ts";

const KEY_PREFIX = "laburnumslip/versions/";
/** Longest life of a stream over all attempts of its caller, as a multiple of its route's time-out. */
const LIFETIME_TIMEOUTS = 2;
/** Largest number of versions in a log line's list. */
const MAXIMUM_LOGGED_VERSIONS = 8;

/** Dependencies of {@linkcode ServedVersions}. */
interface ServedVersionsOptions {
    directory: Pick<Directory, "servers" | "configuration">;
    replica: Pick<ItemReplica, "get" | "getStored" | "isFilled" | "position">;
    store: Pick<CoordinationStore, "write">;
    clock: Pick<SuspensionAwareClock, "now">;
    /** Shortest time in milliseconds after the last server of a version has left, for which its streams may be taken up. */
    minimumLifetimeMilliseconds: number;
    /** Whether this instance is one of those that write for all. */
    isWriter(): boolean;
    logger: Logger;
}

/** What is registered of a service. */
interface RegisteredVersions {
    versions: Set<string>;
    /** Time in milliseconds after the last server of a version has left, for which its streams may be taken up. */
    lifetimeMilliseconds: number;
}

/**
 * Knows which software versions of a service may have begun a stream that can still be taken up: those of the registered
 * servers, those that left lately, and those that the store lists. The list in the store outlives the instances, so that
 * one that has just started knows of versions that it has never seen.
 *
 * @example
 * ```ts
 * const versions = new ServedVersions(options);
 * versions.observe();
 * versions.candidates("models"); // ["v1", "v2"]
 * ```
 */
export class ServedVersions {
    /** By service: versions with the time in milliseconds at which a server of them was last known. */
    readonly #knownAt = new Map<string, Map<string, number>>();
    readonly #lastLogged = new Map<string, string>();

    /**
     * @param options Dependencies.
     */
    constructor(private readonly options: ServedVersionsOptions) {}

    /** Takes note of the versions that are registered or listed now. To be called often, so that no version is missed. */
    observe(): void {
        const { directory, clock, logger } = this.options;
        const now = clock.now();
        const registered = this.#registered();
        for (const [service, { versions, lifetimeMilliseconds }] of registered) {
            const known = this.#knownAt.get(service) ?? new Map<string, number>();
            this.#knownAt.set(service, known);
            versions.forEach(version => known.set(version, now));
            const listed = this.#listed(service);
            for (const version of listed) {
                if (!known.has(version)) {
                    known.set(version, now);
                }
            }
            for (const [version, at] of known) {
                if (now - at >= lifetimeMilliseconds && !listed.has(version)) {
                    known.delete(version);
                }
            }
            const inService = JSON.stringify([...known.keys()].sort());
            if (this.#lastLogged.get(service) !== inService && known.size > 0) {
                this.#lastLogged.set(service, inService);
                logger.info("software versions in service", {
                    service,
                    versions: [...known.keys()].sort(),
                    configuration: directory.configuration?.version,
                });
            }
        }
        for (const service of this.#knownAt.keys()) {
            if (!registered.has(service)) {
                this.#knownAt.delete(service);
                this.#lastLogged.delete(service);
            }
        }
    }

    /**
     * Lists the versions that may have begun a stream.
     *
     * @param service Name of the service.
     * @returns The versions as last observed.
     */
    candidates(service: string): string[] {
        return [...this.#knownAt.get(service)?.keys() ?? []];
    }

    /**
     * Lists the services of which several versions may have begun a stream.
     *
     * @returns Their names.
     */
    mixedServices(): Set<string> {
        return new Set([...this.#knownAt].filter(([, known]) => known.size > 1).map(([service]) => service));
    }

    /**
     * Describes what is known of the versions of a service.
     *
     * @param service Name of the service.
     * @returns What is registered now, and what the store lists.
     */
    describe(service: string): Omit<VersionEvidence, "record"> {
        const { versions, era } = parseVersionList(this.options.replica.getStored(KEY_PREFIX + service)?.value);
        return {
            registered: [...this.#registered().get(service)?.versions ?? []].slice(0, MAXIMUM_LOGGED_VERSIONS),
            listed: [...versions].slice(0, MAXIMUM_LOGGED_VERSIONS),
            listEra: era,
        };
    }

    /**
     * Brings the list in the store up to date, if this instance writes it: adds versions that are registered, and removes
     * those whose streams nobody takes up any more.
     *
     * @returns Whether all writes succeeded; those that failed are tried again at the next call.
     */
    async record(): Promise<boolean> {
        const { replica, store, isWriter, clock, logger } = this.options;
        if (!replica.isFilled || !isWriter()) {
            return true;
        }
        const now = clock.now();
        const registered = this.#registered();
        for (const [service, { versions: inUse, lifetimeMilliseconds }] of registered) {
            const known = this.#knownAt.get(service) ?? new Map<string, number>();
            const key = KEY_PREFIX + service;
            const listed = [...parseVersionList(replica.getStored(key)?.value).versions];
            const isKept = (version: string) => now - (known.get(version) ?? -Infinity) < lifetimeMilliseconds;
            const lacking = [...inUse].filter(version => !listed.includes(version));
            const kept = listed.filter(isKept);
            // A version that has left is not added again, or instances with other memories would undo each other's lists.
            if (lacking.length === 0 && kept.length === listed.length) {
                continue;
            }
            const versions = [...kept, ...lacking].sort();
            const written = await store.write([{ key, value: formatVersionList(versions, replica.position.era) }]);
            const outcome = written.isOk() ? written.value.kind : written.error.message;
            if (outcome !== "stored") {
                logger.warn("software versions not recorded", { service, versions, outcome });
                return false;
            }
            logger.info("software versions recorded", { service, versions });
        }
        return true;
    }

    /** Versions of the registered servers, by service, of the services whose streams callers may take up. */
    #registered(): Map<string, RegisteredVersions> {
        const { directory: { servers, configuration }, minimumLifetimeMilliseconds } = this.options;
        const routes = configuration?.routes.filter(({ kind, resumable }) => kind === "stream" && resumable) ?? [];
        const registered = new Map<string, RegisteredVersions>();
        for (const { services, timeoutMilliseconds } of routes) {
            for (const { service } of services) {
                const lifetimeMilliseconds = Math.max(
                    minimumLifetimeMilliseconds,
                    timeoutMilliseconds * LIFETIME_TIMEOUTS,
                    registered.get(service)?.lifetimeMilliseconds ?? 0,
                );
                registered.set(service, { versions: new Set(), lifetimeMilliseconds });
            }
        }
        for (const { service, softwareVersion } of servers.values()) {
            registered.get(service)?.versions.add(softwareVersion);
        }
        return registered;
    }

    #listed(service: string): ReadonlySet<string> {
        return parseVersionList(this.options.replica.get(KEY_PREFIX + service)?.value).versions;
    }
}
