import type { CheckResult } from "./check_result.ts";
import type { EngineTrace } from "./engine_trace.ts";

interface Limit {
    tokensPerSecond: number;
    burstTokens: number;
}

/** Tokens that one request used, at the time when it first reached an engine. */
interface TokenUse {
    at: number;
    tokens: number;
}

/** Largest error of an interval, since the engines record times in whole milliseconds. */
const CLOCK_ERROR_MILLISECONDS = 2;

/**
 * Checks that each organisation stays within its limit in every time window: the requests that first reached an engine
 * in the window use no more tokens than the burst plus the rate times the length of the window.
 *
 * @param engines Traces of the engines; labels begin with the organisation's name and a colon.
 * @param organisations Limits by organisation.
 * @returns The result, with one check for each window.
 * @example
 * ```ts
 * checkLimits(engines, { north: { tokensPerSecond: 100, burstTokens: 1_000 } }).violations; // []
 * ```
 */
export function checkLimits(engines: EngineTrace[], organisations: Record<string, Limit>): CheckResult {
    const checkResult: CheckResult = { checks: 0, violations: [] };
    for (const [organisation, limit] of Object.entries(organisations)) {
        const uses = tokenUsesOf(engines, organisation);
        let excess = 0;
        for (let first = 0; first < uses.length; first++) {
            let sum = 0;
            for (let last = first; last < uses.length; last++) {
                const to = uses[last];
                const from = uses[first];
                if (!from || !to) {
                    continue;
                }
                sum += to.tokens;
                checkResult.checks++;
                const seconds = (to.at - from.at + CLOCK_ERROR_MILLISECONDS) / 1_000;
                excess = Math.max(excess, sum - limit.burstTokens - limit.tokensPerSecond * seconds);
            }
        }
        if (excess > 0) {
            checkResult.violations.push(`${organisation} used ${Math.ceil(excess)} tokens too many in a window`);
        }
    }
    return checkResult;
}

/** Lists the tokens used by each request of an organisation, by time. */
function tokenUsesOf(engines: EngineTrace[], organisation: string): TokenUse[] {
    const byRequest = new Map<string, TokenUse & { prompt: number; generated: number; }>();
    for (const entry of engines.flatMap(({ trace }) => trace)) {
        if (!entry.label.startsWith(`${organisation}:`)) {
            continue;
        }
        const id = entry.request.slice(0, entry.request.lastIndexOf("."));
        const use = byRequest.get(id) ?? { at: entry.at, tokens: 0, prompt: 0, generated: 0 };
        use.at = Math.min(use.at, entry.at);
        use.prompt = Math.max(use.prompt, entry.promptTokens);
        use.generated += entry.generated;
        use.tokens = use.prompt + use.generated;
        byRequest.set(id, use);
    }
    return [...byRequest.values()].sort((left, right) => left.at - right.at);
}
