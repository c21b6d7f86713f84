const SHARD_COUNT = 64;

/**
 * Returns the shard that holds a record.
 *
 * @param key Key of the record.
 * @returns Index of the shard.
 * @example
 * ```ts
 * shardOf("ff00"); // 0
 * ```
 */
export function shardOf(key: string): number {
    return Number.parseInt(key.slice(-4), 16) % SHARD_COUNT;
}
