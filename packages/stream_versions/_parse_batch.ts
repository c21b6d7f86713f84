import type { OriginBatch } from "./_origin_batch.ts";
import { originBatchSchema } from "./_origin_batch_schema.ts";
import type { StreamOrigin } from "./stream_origin.ts";

/** Parses the value of a store's item; undefined if another writer has put something else there. */
export function parseBatch(value: string | undefined): OriginBatch | undefined {
    let content: unknown;
    try {
        content = JSON.parse(value ?? "");
    }
    catch {
        return undefined;
    }
    const parsed = originBatchSchema.safeParse(content);
    if (!parsed.success) {
        return undefined;
    }
    const origins = new Map<string, StreamOrigin>();
    for (const [service, version, keys] of parsed.data.origins) {
        const origin = { service, version };
        keys.forEach(key => origins.set(key, origin));
    }
    const { period, identified: isIdentified = false } = parsed.data;
    return { period, isIdentified, origins };
}
