import type { VersionList } from "./version_list.ts";

/**
 * Formats the value of the store's item. What is no version stands as an object among the versions, where programs that do not
 * know it pass over it.
 *
 * @param list The list.
 * @returns The value.
 */
export function formatVersionList({ versions, era, unregistered }: VersionList): string {
    return JSON.stringify([
        ...[...versions].sort(),
        ...era === undefined ? [] : [{ era }],
        ...[...unregistered].map(([server, startedAt]) => ({ server, startedAt })),
    ]);
}
