import type { RegisteredServer } from "../directory/mod.ts";

/**
 * Names a start of a server. A server may start again under its id, at the same address or another one; nothing that was
 * said of or by its former process holds for the present one.
 */
export function nameServerStart({ id, startedAt }: Pick<RegisteredServer, "id" | "startedAt">): string {
    return `${id} ${startedAt}`;
}
