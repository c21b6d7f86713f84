import { monotonicMilliseconds } from "../clocks/mod.ts";
import { formatVersionList } from "./_format_version_list.ts";
import { listRegisteredVersions } from "./_list_registered_versions.ts";
import { parseVersionList } from "./_parse_version_list.ts";
import { VersionListReader } from "./_version_list_reader.ts";
import type { RegisteredVersions } from "./registered_versions.ts";
import type { ServedVersionsOptions } from "./served_versions_options.ts";
import { ServiceVersions } from "./service_versions.ts";
import type { VersionEvidence } from "./version_evidence.ts";
import type { VersionList } from "./version_list.ts";

const KEY_PREFIX = "laburnumslip/versions/";
/** Largest number of versions in a log line's list. */
const MAXIMUM_LOGGED_VERSIONS = 8;
/** Shortest time in milliseconds for which other instances leave a list to those that write for all. */
const WRITER_MILLISECONDS = 1_000;
/** Time in milliseconds after the store's return within which servers that are alive have registered again. */
const RETURN_MILLISECONDS = 2_000;
/** Largest number of writes of one change, since others may write the list at the same time. */
const MAXIMUM_WRITES = 3;
/** Time in milliseconds, for each instance, over which these spread their writes. */
const SPREAD_MILLISECONDS = 10;

/**
 * Knows which software versions of a service may have begun a stream that can still be taken up: those of the registered
 * servers, those that left lately, and those that the store lists. The list in the store outlives the instances, so that
 * one that has just started knows of versions that it has never seen; it speaks only for the era in which it was written.
 *
 * @example
 * ```ts
 * const versions = new ServedVersions(options);
 * versions.observe();
 * versions.candidates("models"); // ["v1", "v2"]
 * ```
 */
export class ServedVersions {
    readonly #services = new Map<string, ServiceVersions>();
    readonly #lists = new Map<string, { value: string | undefined; list: VersionList; }>();
    /** By service: time in milliseconds from which this instance writes a list that the writers have left undone. */
    readonly #writeAt = new Map<string, number>();
    readonly #lastRightAt = new Map<string, number>();
    readonly #listReader: VersionListReader;
    readonly #lastLogged = new Map<string, string>();
    #isFirstEra = true;

    /**
     * @param options Dependencies.
     */
    constructor(private readonly options: ServedVersionsOptions) {
        this.#listReader = new VersionListReader(options.store);
        options.replica.onEraChange(() => {
            this.#isFirstEra = false;
        });
    }

    /** Takes note of the versions that are registered or listed now. To be called often, so that no version is missed. */
    observe(): void {
        const { clock, replica, isFirstStart } = this.options;
        const now = clock.now();
        const registered = this.#registered();
        for (const [service, servers] of registered) {
            const observation = {
                registered: servers,
                list: parseVersionList(replica.get(KEY_PREFIX + service)?.value),
                era: replica.position.era,
                now,
                monotonicNow: monotonicMilliseconds(),
                confirmedAt: replica.confirmedAt,
            };
            const known = this.#services.get(service);
            if (known) {
                known.observe(observation);
            }
            else if (replica.isFilled) {
                this.#services.set(service, new ServiceVersions(isFirstStart && this.#isFirstEra, observation));
            }
            this.#log(service);
        }
        for (const service of [...this.#services.keys()].filter(service => !registered.has(service))) {
            this.#services.delete(service);
            this.#lists.delete(service);
            this.#lastLogged.delete(service);
        }
    }

    /**
     * Lists the versions that may have begun a stream.
     *
     * @param service Name of the service.
     * @returns The versions as last observed.
     */
    candidates(service: string): string[] {
        return this.#services.get(service)?.candidates ?? [];
    }

    /**
     * Returns whether no version but the candidates can have begun a stream of a service.
     *
     * @param service Name of the service.
     * @returns Whether this instance is certain.
     */
    isCertain(service: string): boolean {
        return this.#services.get(service)?.isCertain ?? false;
    }

    /**
     * Reads the list in the store anew. A stream begins at a version that the store has listed before, so a read that begins once the
     * stream has begun shows its version, which the replica may yet lack.
     *
     * @param service Name of the service.
     * @param version A version.
     * @returns Whether the store lists no other version in the era that this instance knows; false if it does not answer.
     */
    async isOnlyListed(service: string, version: string): Promise<boolean> {
        const read = await this.#listReader.read(KEY_PREFIX + service);
        return read?.era === this.options.replica.position.era
            && [...read.list.versions].every(listed => listed === version) && read.list.unregistered.size === 0;
    }

    /**
     * Adds a process to the list that begins streams before its entry has come, so that nobody takes them for those of a registered version.
     *
     * @param service Name of the service.
     * @param server Id of the server.
     * @param startedAt Unix time in milliseconds of the process's start.
     * @returns Whether the list holds the process.
     */
    async addUnregistered(service: string, server: string, startedAt: number): Promise<boolean> {
        const { store, logger } = this.options;
        const key = KEY_PREFIX + service;
        for (let attempt = 0; attempt < MAXIMUM_WRITES; attempt++) {
            const read = await this.#listReader.read(key);
            if (!read) {
                break;
            }
            const { list, item } = read;
            if (list.unregistered.get(server) === startedAt) {
                return true;
            }
            const value = formatVersionList({
                ...list,
                unregistered: new Map([...list.unregistered, [server, startedAt]]),
            });
            const condition = item ? { unchangedSince: { era: item.era, revision: item.revision } } : { isNew: true };
            const written = await store.write([{ key, value, ...condition }]);
            if (written.isOk() && written.value.kind === "stored") {
                logger.info("process without an entry recorded", { service, server, startedAt });
                return true;
            }
        }
        logger.warn("process without an entry not recorded", { service, server, startedAt });
        return false;
    }

    /**
     * Returns whether the servers of a service that are alive have registered since the store may have come back.
     *
     * @param service Name of the service.
     * @returns Whether the directory lacks none of them.
     */
    haveServersReturned(service: string): boolean {
        const { confirmedAt, eraEnteredAt } = this.options.replica;
        return this.isCertain(service) || confirmedAt - eraEnteredAt >= RETURN_MILLISECONDS;
    }

    /**
     * Returns whether a version stands on the list in the store, so that it is known of once all instances have ended.
     *
     * @param service Name of the service.
     * @param version The version.
     * @returns Whether it is listed.
     */
    isListed(service: string, version: string): boolean {
        return this.#stored(service).versions.has(version);
    }

    /**
     * Lists the services of which several versions may have begun a stream.
     *
     * @returns Their names.
     */
    mixedServices(): Set<string> {
        const mixed = [...this.#services].filter(([, known]) => !known.isCertain || known.candidates.length > 1);
        return new Set(mixed.map(([service]) => service));
    }

    /**
     * Describes what is known of the versions of a service.
     *
     * @param service Name of the service.
     * @returns What is registered now, and what the store lists.
     */
    describe(service: string): Omit<VersionEvidence, "record"> {
        const { versions, era } = this.#stored(service);
        const registered = this.#registered().get(service)?.servers.map(({ softwareVersion }) => softwareVersion);
        return {
            registered: [...new Set(registered)].slice(0, MAXIMUM_LOGGED_VERSIONS),
            listed: [...versions].slice(0, MAXIMUM_LOGGED_VERSIONS),
            listEra: era,
            isCertain: this.isCertain(service),
        };
    }

    /**
     * Brings the lists in the store up to date, if this instance writes them: adds versions that are registered, removes
     * those whose streams nobody takes up any more, and confirms the list in the present era.
     *
     * @returns Whether all writes succeeded; those that failed are tried again at the next call.
     */
    async record(): Promise<boolean> {
        const { replica } = this.options;
        if (!replica.isFilled) {
            return true;
        }
        this.observe();
        for (const [service, known] of this.#services) {
            const wanted = known.correct(this.#stored(service), this.options.clock.now());
            if (!wanted) {
                this.#writeAt.delete(service);
                this.#lastRightAt.set(service, this.options.clock.now());
            }
            else if (
                !this.#isFormerWriters(service, wanted) && this.#mayWrite(service)
                && !await this.#write(service, wanted)
            ) {
                return false;
            }
        }
        return true;
    }

    /** Whether a former build, which names no era, has just written a list of all that are registered; it needs time to read it. */
    #isFormerWriters(service: string, wanted: VersionList): boolean {
        const { versions, era, unregistered } = this.#stored(service);
        const servers = this.#registered().get(service)?.servers ?? [];
        const isRecent = this.options.clock.now() - (this.#lastRightAt.get(service) ?? -Infinity) < WRITER_MILLISECONDS;
        return isRecent && era === undefined && wanted.unregistered.size <= unregistered.size
            && servers.every(({ softwareVersion }) => versions.has(softwareVersion));
    }

    /** Whether this instance writes a list: at once if it writes for all, else after some time if it still must be. */
    #mayWrite(service: string): boolean {
        const { isWriter, clock, instanceCount, draw = Math.random } = this.options;
        const spread = () => WRITER_MILLISECONDS + draw() * instanceCount() * SPREAD_MILLISECONDS;
        const at = this.#writeAt.get(service) ?? clock.now() + spread();
        this.#writeAt.set(service, at);
        return isWriter() || clock.now() >= at;
    }

    async #write(service: string, list: VersionList): Promise<boolean> {
        const { replica, store, logger } = this.options;
        const key = KEY_PREFIX + service;
        const item = replica.getStored(key);
        const condition = item ? { unchangedSince: { era: item.era, revision: item.revision } } : { isNew: true };
        const fields = { service, versions: [...list.versions].sort(), listEra: list.era };
        const written = await store.write([{ key, value: formatVersionList(list), ...condition }]);
        const outcome = written.isOk() ? written.value.kind : written.error.message;
        if (outcome === "conflict") {
            // Another instance has written it, which the next look shows.
            return true;
        }
        if (outcome !== "stored") {
            logger.warn("software versions not recorded", { ...fields, outcome });
            return false;
        }
        logger.info("software versions recorded", fields);
        return true;
    }

    #registered(): Map<string, RegisteredVersions> {
        return listRegisteredVersions(this.options.directory, this.options.minimumLifetimeMilliseconds);
    }

    #stored(service: string): VersionList {
        const value = this.options.replica.getStored(KEY_PREFIX + service)?.value;
        const last = this.#lists.get(service);
        if (last && last.value === value) {
            return last.list;
        }
        const list = parseVersionList(value);
        this.#lists.set(service, { value, list });
        return list;
    }

    #log(service: string): void {
        const { directory, logger } = this.options;
        const versions = this.candidates(service).sort();
        const isCertain = this.isCertain(service);
        const inService = JSON.stringify([versions, isCertain]);
        if (this.#lastLogged.get(service) !== inService && versions.length > 0) {
            this.#lastLogged.set(service, inService);
            logger.info("software versions in service", {
                service,
                versions,
                isCertain,
                configuration: directory.configuration?.version,
            });
        }
    }
}
