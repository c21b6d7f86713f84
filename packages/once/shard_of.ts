const SHARDS = 64;

/**
 * Finds the shard of a record.
 *
 * @param key Key of the record.
 * @returns Number of the shard.
 * @example
 * ```ts
 * shardOf("ff00"); // 0
 * ```
 */
export function shardOf(key: string): number {
    return Number.parseInt(key.slice(-4), 16) % SHARDS;
}
