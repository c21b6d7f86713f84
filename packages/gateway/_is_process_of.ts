import type { RegisteredServer } from "../directory/mod.ts";

/** Whether a process that tells its start is the registered one; an entry without a start speaks for every process under its id. */
export function isProcessOf({ startedAt }: Pick<RegisteredServer, "startedAt">, start: number | undefined): boolean {
    return startedAt === 0 || startedAt === start;
}
