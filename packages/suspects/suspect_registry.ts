import * as z from "zod";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { SuspectRegistryOptions } from "./suspect_registry_options.ts";

const KEPT_MILLISECONDS = 3_600_000;
const MAXIMUM_SUSPECTS = 10_000;
const REPORT_TIMEOUT_MILLISECONDS = 1_000;
/** Servers that may crash under a request before it is not tried any more. */
const CRASHES_ALLOWED = 2;

const reportSchema = z.object({
    fingerprint: z.string().max(64),
    server: z.string().max(64),
    role: z.enum(["prefill", "decode"]),
});

type Report = z.infer<typeof reportSchema>;

/** Servers that crashed while a request ran on them. */
interface Suspect {
    servers: Set<string>;
    roles: Set<Report["role"]>;
    at: number;
}

/**
 * Counts, for each request, the servers that crashed while it ran on them, at every instance.
 *
 * All requests on a crashed server are suspects, of which one is guilty. A suspect is tried once more, as the only one
 * on its server, so that a second crash convicts no other request.
 *
 * @example
 * ```ts
 * const suspects = new SuspectRegistry(options);
 * await suspects.report(fingerprint, "prefill-1", "prefill");
 * suspects.isSuspectAt(fingerprint, "prefill"); // true
 * ```
 */
export class SuspectRegistry {
    readonly #suspects = new Map<string, Suspect>();

    /**
     * @param options What the registry works with.
     */
    constructor(private readonly options: SuspectRegistryOptions) {
        options.server.handle("suspects.report", reportSchema, async report => {
            this.#note(report);
            return {};
        });
    }

    /** Number of suspects known. */
    get size(): number {
        return this.#suspects.size;
    }

    /**
     * Tells whether a request has crashed so many servers that it must not run again.
     *
     * @param fingerprint Fingerprint of the request.
     * @returns Whether it must not.
     */
    isBlocked(fingerprint: string): boolean {
        return (this.#find(fingerprint)?.servers.size ?? 0) >= CRASHES_ALLOWED;
    }

    /**
     * Tells whether a request may have crashed a server, and must not run beside another such request.
     *
     * @param fingerprint Fingerprint of the request.
     * @param role What the server does.
     * @returns Whether it may have.
     */
    isSuspectInRole(fingerprint: string, role: Report["role"]): boolean {
        return this.#find(fingerprint)?.roles.has(role) ?? false;
    }

    /**
     * Reports to all members that a server crashed while a request ran on it.
     *
     * @param fingerprint Fingerprint of the request.
     * @param server Name of the server.
     * @param role What the server does.
     * @returns A promise that resolves once every member that answers knows.
     */
    async report(fingerprint: string, server: string, role: Report["role"]): Promise<void> {
        const { membership, pool, metrics } = this.options;
        const report: Report = { fingerprint, server, role };
        this.#note(report);
        metrics.increment("suspects_reported_total", { role });
        await Promise.all(
            membership.otherMembers.map(member =>
                pool.call(member, "suspects.report", report, REPORT_TIMEOUT_MILLISECONDS)
            ),
        );
    }

    #note({ fingerprint, server, role }: Report): void {
        const suspect = this.#find(fingerprint) ?? { servers: new Set(), roles: new Set(), at: 0 };
        suspect.servers.add(server);
        suspect.roles.add(role);
        suspect.at = monotonicMilliseconds();
        this.#suspects.delete(fingerprint);
        this.#suspects.set(fingerprint, suspect);
        if (suspect.servers.size === CRASHES_ALLOWED) {
            this.options.logger.warn("request crashes servers", { fingerprint, servers: [...suspect.servers] });
        }
        if (this.#suspects.size > MAXIMUM_SUSPECTS) {
            const [oldest] = this.#suspects.keys();
            this.#suspects.delete(oldest ?? "");
        }
    }

    #find(fingerprint: string): Suspect | undefined {
        const suspect = this.#suspects.get(fingerprint);
        if (suspect && monotonicMilliseconds() - suspect.at > KEPT_MILLISECONDS) {
            this.#suspects.delete(fingerprint);
            return undefined;
        }
        return suspect;
    }
}
