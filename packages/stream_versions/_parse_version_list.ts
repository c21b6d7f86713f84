import * as z from "zod";
import type { VersionList } from "./version_list.ts";

const eraSchema = z.object({ era: z.number() });
const unregisteredSchema = z.object({ server: z.string(), startedAt: z.number() });

/**
 * Parses the value of a store's item; an empty list if there is none or another writer has put something else there.
 *
 * @param value The value.
 * @returns The list.
 * @example
 * ```ts
 * parseVersionList('["v1","v2",{"era":3}]'); // { versions: Set(["v1", "v2"]), era: 3, unregistered: Map() }
 * ```
 */
export function parseVersionList(value: string | undefined): VersionList {
    let content: unknown;
    try {
        content = JSON.parse(value ?? "[]");
    }
    catch {
        content = [];
    }
    const entries: unknown[] = Array.isArray(content) ? content : [];
    const unregistered = entries.flatMap(entry => unregisteredSchema.safeParse(entry).data ?? []);
    return {
        versions: new Set(entries.filter(entry => typeof entry === "string")),
        era: entries.map(entry => eraSchema.safeParse(entry).data?.era).find(era => era !== undefined),
        unregistered: new Map(unregistered.map(({ server, startedAt }) => [server, startedAt])),
    };
}
