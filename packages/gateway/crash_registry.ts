import { createHash } from "node:crypto";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { Directory } from "../directory/mod.ts";
import type { Logger } from "../logs/mod.ts";

/** Servers that a request may crash before it is refused. */
const CRASHES_ALLOWED = 3;
/** Time in milliseconds after a broken connection in which the server's end counts as a crash. */
const CONFIRMATION_MILLISECONDS = 5_000;
/** Time in milliseconds for which a crash is held against a request. */
const MEMORY_MILLISECONDS = 30_000;
/** Time in milliseconds in which a crash is told to peers. */
const ANNOUNCEMENT_MILLISECONDS = 2_000;
const MAXIMUM_ENTRIES = 2_000;
const FINGERPRINT_CHARACTERS = 16;

/** The parts of a request by which its repetitions are recognised. */
interface Recognisable {
    path: string;
    body: Buffer;
    organisation: { name: string; } | undefined;
}

/** A crash that a request was running at. */
interface Crash {
    fingerprint: string;
    server: string;
    at: number;
}

/**
 * Counts, for each request, the servers that ended while it ran on them. Every request on a crashed server is a
 * suspect; one that was there several times is the cause.
 *
 * @example
 * ```ts
 * const registry = new CrashRegistry(directory, logger);
 * registry.suspect(request, "server-1");
 * registry.isConvicted(request); // false
 * ```
 */
export class CrashRegistry {
    readonly #suspicions: Crash[] = [];
    readonly #crashes = new Map<string, Crash[]>();
    readonly #listed = new Map<string, number>();

    /**
     * @param directory Registered servers; a server whose entry ends or starts anew has crashed.
     * @param logger Receives convictions.
     */
    constructor(
        private readonly directory: Directory,
        private readonly logger: Logger,
    ) {
        directory.onChange(() => this.#confirmByDirectory());
    }

    /**
     * Notes that a server's connection broke while a request ran on it.
     *
     * @param request The request.
     * @param server Id of the server.
     */
    suspect(request: Recognisable, server: string): void {
        this.#suspicions.push({ fingerprint: fingerprintOf(request), server, at: monotonicMilliseconds() });
        if (this.#suspicions.length > MAXIMUM_ENTRIES) {
            this.#suspicions.shift();
        }
    }

    /**
     * Notes that a server has ended: its port refuses connections, or another server answers there.
     *
     * @param server Id of the server.
     */
    recordServerEnd(server: string): void {
        const oldest = monotonicMilliseconds() - CONFIRMATION_MILLISECONDS;
        for (let index = this.#suspicions.length - 1; index >= 0; index--) {
            const suspicion = this.#suspicions[index];
            if (!suspicion || suspicion.at < oldest) {
                this.#suspicions.splice(index, 1);
            }
            else if (suspicion.server === server) {
                this.#suspicions.splice(index, 1);
                this.#record(suspicion);
            }
        }
    }

    /**
     * Notes a crash that a peer has seen.
     *
     * @param fingerprint Fingerprint of the request.
     * @param server Id of the server.
     */
    recordPeerCrash(fingerprint: string, server: string): void {
        this.#record({ fingerprint, server, at: monotonicMilliseconds() });
    }

    /**
     * Lists the crashes that peers are to be told of.
     *
     * @returns Fingerprints and server ids.
     */
    recent(): [string, string][] {
        const oldest = monotonicMilliseconds() - ANNOUNCEMENT_MILLISECONDS;
        return [...this.#crashes.values()].flat()
            .filter(({ at }) => at > oldest)
            .map(({ fingerprint, server }) => [fingerprint, server]);
    }

    /**
     * Tells whether a request has crashed so many servers that it must not run again.
     *
     * @param request The request.
     * @returns Whether it must not.
     */
    isBlocked(request: Recognisable): boolean {
        if (this.#crashes.size === 0) {
            return false;
        }
        const oldest = monotonicMilliseconds() - MEMORY_MILLISECONDS;
        const crashes = this.#crashes.get(fingerprintOf(request)) ?? [];
        return crashes.filter(({ at }) => at > oldest).length >= CRASHES_ALLOWED;
    }

    #record(crash: Crash): void {
        const crashes = this.#crashes.get(crash.fingerprint) ?? [];
        if (crashes.some(({ server }) => server === crash.server)) {
            return;
        }
        crashes.push(crash);
        this.#crashes.delete(crash.fingerprint);
        this.#crashes.set(crash.fingerprint, crashes);
        if (crashes.length === CRASHES_ALLOWED) {
            const servers = crashes.map(({ server }) => server);
            this.logger.warn("request crashes servers", { fingerprint: crash.fingerprint, servers });
        }
        const oldest = [...this.#crashes.keys()][0];
        if (this.#crashes.size > MAXIMUM_ENTRIES && oldest !== undefined) {
            this.#crashes.delete(oldest);
        }
    }

    #confirmByDirectory(): void {
        if (this.#suspicions.length === 0) {
            return;
        }
        for (const { server, at } of [...this.#suspicions]) {
            const listed = this.directory.servers.get(server);
            const startedAt = this.#listed.get(server);
            if (!listed || (startedAt !== undefined && listed.startedAt !== startedAt)) {
                this.recordServerEnd(server);
            }
            else if (monotonicMilliseconds() - at < CONFIRMATION_MILLISECONDS) {
                this.#listed.set(server, listed.startedAt);
            }
        }
        for (const id of this.#listed.keys()) {
            if (!this.directory.servers.has(id)) {
                this.#listed.delete(id);
            }
        }
    }
}

function fingerprintOf({ path, body, organisation }: Recognisable): string {
    return createHash("sha1")
        .update(`${path}\n${organisation?.name ?? ""}\n`)
        .update(body)
        .digest("base64")
        .slice(0, FINGERPRINT_CHARACTERS);
}
