import type { HomeManager } from "../homes/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { OnceClient } from "../once/mod.ts";
import type { ShutdownLog } from "../shutdown/mod.ts";
import { waitForOutcomes } from "./_wait_for_outcomes.ts";

/** What an instance holds for the fleet. */
interface FleetParts {
    once: OnceClient;
    homes: HomeManager;
    membership: Membership;
}

/** Waits for the outcomes of once-only calls, hands the homes over and leaves the fleet. */
export async function leaveFleet(
    { once, homes, membership }: FleetParts,
    steps: ShutdownLog,
    endBy: number,
): Promise<void> {
    steps.begin("outcomes of once-only calls", endBy);
    await waitForOutcomes(once);
    once.close();
    steps.begin("handover of homes", endBy);
    await homes.releaseAll();
    if (await membership.leave()) {
        await homes.sendHandovers();
    }
}
