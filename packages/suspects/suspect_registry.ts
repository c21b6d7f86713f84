import * as z from "zod";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { SuspectRegistryOptions } from "./suspect_registry_options.ts";

const SUSPECT_LIFETIME_MILLISECONDS = 3_600_000;
const MAXIMUM_SUSPECTS = 10_000;
const REPORT_TIMEOUT_MILLISECONDS = 1_000;
/** Number of different servers that must crash while running a request before it is blocked. */
const CRASHES_UNTIL_BLOCKED = 2;

const reportSchema = z.object({
    fingerprint: z.string().max(64),
    server: z.string().max(64),
    role: z.enum(["prefill", "decode"]),
});

type Report = z.infer<typeof reportSchema>;

/** A request with the servers that crashed while it ran on them. */
interface Suspect {
    servers: Set<string>;
    roles: Set<Report["role"]>;
    /** Monotonic time in milliseconds of the last reported crash. */
    at: number;
}

/**
 * Counts, for each request, the servers that crashed while it ran on them. Every instance keeps the counts of all.
 *
 * All requests on a crashed server are suspects, although only one of them caused the crash. A suspect is sent once
 * more as the only suspect on its server, so that a second crash does not block another request.
 *
 * @example
 * ```ts
 * const suspects = new SuspectRegistry(options);
 * await suspects.report(fingerprint, "prefill-1", "prefill");
 * suspects.isSuspectInRole(fingerprint, "prefill"); // true
 * ```
 */
export class SuspectRegistry {
    readonly #suspects = new Map<string, Suspect>();

    /**
     * @param options Dependencies of the registry.
     */
    constructor(private readonly options: SuspectRegistryOptions) {
        options.server.handle("suspects.report", reportSchema, async report => {
            this.#record(report);
            return {};
        });
    }

    /** Number of known suspects. */
    get size(): number {
        return this.#suspects.size;
    }

    /**
     * Returns whether a request has crashed so many servers that it must not run again.
     *
     * @param fingerprint Fingerprint of the request.
     * @returns Whether it is blocked.
     */
    isBlocked(fingerprint: string): boolean {
        return (this.#find(fingerprint)?.servers.size ?? 0) >= CRASHES_UNTIL_BLOCKED;
    }

    /**
     * Returns whether a request may have crashed a server of a role, so that it must not run beside another suspect.
     *
     * @param fingerprint Fingerprint of the request.
     * @param role Role of the server.
     * @returns Whether it is a suspect.
     */
    isSuspectInRole(fingerprint: string, role: Report["role"]): boolean {
        return this.#find(fingerprint)?.roles.has(role) ?? false;
    }

    /**
     * Reports to all members that a server crashed while a request ran on it.
     *
     * @param fingerprint Fingerprint of the request.
     * @param server Name of the server.
     * @param role Role of the server.
     * @returns A promise that resolves once every member has responded or timed out.
     */
    async report(fingerprint: string, server: string, role: Report["role"]): Promise<void> {
        const { membership, pool, metrics } = this.options;
        const report: Report = { fingerprint, server, role };
        this.#record(report);
        metrics.increment("suspects_reported_total", { role });
        await Promise.all(
            membership.otherMembers.map(member =>
                pool.call(member, "suspects.report", report, REPORT_TIMEOUT_MILLISECONDS)
            ),
        );
    }

    #record({ fingerprint, server, role }: Report): void {
        const suspect = this.#find(fingerprint) ?? { servers: new Set(), roles: new Set(), at: 0 };
        suspect.servers.add(server);
        suspect.roles.add(role);
        suspect.at = monotonicMilliseconds();
        this.#suspects.delete(fingerprint);
        this.#suspects.set(fingerprint, suspect);
        if (suspect.servers.size === CRASHES_UNTIL_BLOCKED) {
            this.options.logger.warn("request crashes servers", { fingerprint, servers: [...suspect.servers] });
        }
        if (this.#suspects.size > MAXIMUM_SUSPECTS) {
            const [oldest] = this.#suspects.keys();
            this.#suspects.delete(oldest ?? "");
        }
    }

    #find(fingerprint: string): Suspect | undefined {
        const suspect = this.#suspects.get(fingerprint);
        if (suspect && monotonicMilliseconds() - suspect.at > SUSPECT_LIFETIME_MILLISECONDS) {
            this.#suspects.delete(fingerprint);
            return undefined;
        }
        return suspect;
    }
}
