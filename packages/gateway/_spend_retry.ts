import { sleep } from "../clocks/mod.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { PassProgress } from "./pass_progress.ts";
import type { RetryBudget } from "./retry_budget.ts";

/** Time in milliseconds after which a spent budget is checked again. */
const CHECK_MILLISECONDS = 25;

/**
 * Spends one retry. A request whose answer has begun can no longer be refused, so it waits for the budget until it ends.
 *
 * @param request The request.
 * @param progress Progress of its stream.
 * @param retryBudget The budget.
 * @returns Whether the retry is allowed.
 */
export async function spendRetry(
    request: GatewayRequest,
    progress: PassProgress,
    retryBudget: RetryBudget,
): Promise<boolean> {
    while (!retryBudget.trySpend(request.service.name, progress.mustGoOn)) {
        if (progress.lastEventId === undefined || request.signal.aborted) {
            return false;
        }
        await sleep(CHECK_MILLISECONDS);
    }
    return !request.signal.aborted;
}
