import { appendFileSync, writeFileSync } from "node:fs";
import type { Call } from "./caller.ts";
import { ReviewFleet } from "./review_fleet.ts";

/** Exit codes of a case. */
const HELD = 0;
const BROKEN = 1;
const COULD_NOT_RUN = 2;
/** Time after which a case is given up, below the 120 seconds that it may take. */
const TIME_LIMIT_MILLISECONDS = 110_000;

/** What a case works with. */
export interface CaseContext {
    fleet: ReviewFleet;
    /** Whether the disruption takes place. */
    trouble: boolean;
    /** Takes every request that a client has sent. */
    calls: Call[];
    /** Adds a line to the record. */
    record(line: string): void;
}

/**
 * Runs a case: opens the deployment, runs the case, writes the record, ends all processes and exits with 1 if the rule was
 * broken, 0 if it held and 2 if the case could not run. The first argument of the program names the file of the record;
 * `TROUBLE=0` in the environment leaves out the disruption.
 *
 * @param run Returns whether the rule was broken; throws if the case cannot be judged.
 */
export async function runCase(run: (context: CaseContext) => Promise<boolean>): Promise<void> {
    const file = process.argv[2] ?? "record.txt";
    writeFileSync(file, "");
    const record = (line: string) => appendFileSync(file, `${line}\n`);
    const trouble = process.env["TROUBLE"] !== "0";
    record(trouble ? "with the disruption" : "without the disruption");
    const fleet = await ReviewFleet.open();
    // Processes that were started must not outlive this one, however it ends.
    process.on("exit", () => fleet.killAll());
    process.on("uncaughtException", error => {
        record(`the case could not run: ${String(error.stack)}`);
        process.exit(COULD_NOT_RUN);
    });
    for (const signal of ["SIGINT", "SIGTERM"] as const) {
        process.on(signal, () => process.exit(COULD_NOT_RUN));
    }
    setTimeout(() => {
        record("the case could not run: it took too long");
        process.exit(COULD_NOT_RUN);
    }, TIME_LIMIT_MILLISECONDS).unref();
    const calls: Call[] = [];
    let exitCode = COULD_NOT_RUN;
    try {
        exitCode = await run({ fleet, trouble, calls, record }) ? BROKEN : HELD;
    }
    catch (error) {
        record(`the case could not run: ${error instanceof Error ? error.stack : String(error)}`);
    }
    recordTraffic(fleet, calls, record);
    await fleet.close();
    record(`exit ${exitCode}`);
    process.exit(exitCode);
}

/** Writes what was sent, answered and run, in the order of time; times are Unix milliseconds. */
function recordTraffic(fleet: ReviewFleet, calls: Call[], record: (line: string) => void): void {
    const lines: { at: number; text: string; }[] = [];
    for (const { id, instance, path, sentAt, endedAt, status, error } of calls) {
        lines.push({ at: sentAt, text: `sent ${id} ${path} to ${instance}` });
        lines.push({ at: endedAt, text: `answered ${id} ${status} ${error ?? "complete"}` });
    }
    for (const [server, { standIn }] of fleet.servers) {
        for (const { id, at } of standIn.runs) {
            lines.push({ at, text: `ran ${id} at ${server}` });
        }
    }
    lines.sort((left, right) => left.at - right.at);
    record(lines.map(({ at, text }) => `${at} ${text}`).join("\n"));
}
