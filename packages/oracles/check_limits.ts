import type { CheckResult } from "./check_result.ts";
import type { EngineTrace } from "./engine_trace.ts";

interface Limit {
    tokensPerSecond: number;
    burstTokens: number;
}

interface Spent {
    at: number;
    tokens: number;
}

/** Clocks of the engines are read in whole milliseconds. */
const CLOCK_MILLISECONDS = 2;

/**
 * Checks for every window that the requests which first reached an engine in it used no more tokens than the
 * organisation's burst and what its rate adds in the window's length.
 *
 * @param engines What the engines saw; labels begin with the organisation's name and a colon.
 * @param organisations The limits.
 * @returns One check a window.
 * @example
 * ```ts
 * checkLimits(engines, { north: { tokensPerSecond: 100, burstTokens: 1_000 } }).violations; // []
 * ```
 */
export function checkLimits(engines: EngineTrace[], organisations: Record<string, Limit>): CheckResult {
    const finding: CheckResult = { checks: 0, violations: [] };
    for (const [organisation, limit] of Object.entries(organisations)) {
        const spent = spentBy(engines, organisation);
        let worst = 0;
        for (let first = 0; first < spent.length; first++) {
            let sum = 0;
            for (let last = first; last < spent.length; last++) {
                const to = spent[last];
                const from = spent[first];
                if (!from || !to) {
                    continue;
                }
                sum += to.tokens;
                finding.checks++;
                const seconds = (to.at - from.at + CLOCK_MILLISECONDS) / 1_000;
                worst = Math.max(worst, sum - limit.burstTokens - limit.tokensPerSecond * seconds);
            }
        }
        if (worst > 0) {
            finding.violations.push(`${organisation} used ${Math.ceil(worst)} tokens too many in a window`);
        }
    }
    return finding;
}

function spentBy(engines: EngineTrace[], organisation: string): Spent[] {
    const byRequest = new Map<string, Spent & { prompt: number; generated: number; }>();
    for (const entry of engines.flatMap(({ trace }) => trace)) {
        if (!entry.label.startsWith(`${organisation}:`)) {
            continue;
        }
        const id = entry.request.slice(0, entry.request.lastIndexOf("."));
        const known = byRequest.get(id) ?? { at: entry.at, tokens: 0, prompt: 0, generated: 0 };
        known.at = Math.min(known.at, entry.at);
        known.prompt = Math.max(known.prompt, entry.promptTokens);
        known.generated += entry.generated;
        known.tokens = known.prompt + known.generated;
        byRequest.set(id, known);
    }
    return [...byRequest.values()].sort((left, right) => left.at - right.at);
}
