import type { OriginBatch } from "./_origin_batch.ts";

/** Formats the value of the store's item. */
export function formatBatch({ period, isIdentified, origins }: OriginBatch): string {
    const groups = new Map<string, [string, string, string[]]>();
    for (const [key, { service, version }] of origins) {
        const name = JSON.stringify([service, version]);
        const group = groups.get(name) ?? [service, version, []];
        group[2].push(key);
        groups.set(name, group);
    }
    return JSON.stringify({ period, identified: isIdentified, origins: [...groups.values()] });
}
