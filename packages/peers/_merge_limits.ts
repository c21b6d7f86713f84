import type { ServerLimitNotice } from "./server_limit_notice.ts";

/** Largest number of servers in a message. */
const MAXIMUM_SERVERS = 1_024;

/** Merges what servers have said to several instances: the latest of each start of a server. */
export function mergeLimits(known: ServerLimitNotice[], added: ServerLimitNotice[], age: number): ServerLimitNotice[] {
    const merged = new Map<string, ServerLimitNotice>();
    const aged = added.map(notice => ({ ...notice, age: Math.round(notice.age + age) }));
    for (const notice of [...known, ...aged]) {
        const key = `${notice.id}\n${notice.startedAt}`;
        const last = merged.get(key);
        if (!last || last.age > notice.age) {
            merged.set(key, notice);
        }
    }
    return [...merged.values()].slice(-MAXIMUM_SERVERS);
}
