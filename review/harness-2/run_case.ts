import { ReviewFleet } from "./review_fleet.ts";

/** Time in milliseconds after which a case is given up; scripts may run for 120 seconds. */
const LIMIT_MILLISECONDS = 115_000;
const BROKEN_EXIT_CODE = 1;
const FAILED_EXIT_CODE = 2;

/** A case: plays its traffic on a fleet, with or without the disruption, and tells whether the rule was broken. */
type Case = (fleet: ReviewFleet, trouble: boolean) => Promise<boolean>;

/**
 * Runs a case and ends this process: with 1 if the rule was broken, 0 if it held, 2 if the case could not run. The
 * environment variable `TROUBLE=0` leaves out the disruption.
 *
 * @param recordFile File for what was sent, answered and run.
 * @param play The case.
 * @example
 * ```ts
 * await runCase("review/6/record.txt", async (fleet, trouble) => false);
 * ```
 */
export async function runCase(recordFile: string, play: Case): Promise<never> {
    const trouble = process.env["TROUBLE"] !== "0";
    let fleet: ReviewFleet | undefined;
    let code = FAILED_EXIT_CODE;
    const giveUp = (message: string) => {
        console.error(message);
        fleet?.killAll();
        process.exit(FAILED_EXIT_CODE);
    };
    const limit = setTimeout(() => giveUp("The case took too long"), LIMIT_MILLISECONDS);
    for (const signal of ["SIGINT", "SIGTERM"] as const) {
        process.on(signal, () => giveUp(`The case was ended by ${signal}`));
    }
    try {
        fleet = await ReviewFleet.create(recordFile);
        fleet.record(`disruption: ${trouble ? "yes" : "no"}`);
        const isBroken = await play(fleet, trouble);
        fleet.record(`the rule ${isBroken ? "was broken" : "held"}`);
        code = isBroken ? BROKEN_EXIT_CODE : 0;
    }
    catch (error) {
        console.error(error);
        fleet?.record(`the case could not run: ${String(error)}`);
    }
    finally {
        clearTimeout(limit);
        await fleet?.close();
    }
    process.exit(code);
}
