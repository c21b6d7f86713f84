import type { Declaration } from "../configuration/mod.ts";
import type { Outcome } from "./_outcome.ts";
import type { ScheduledRequest } from "./_scheduled_request.ts";

type Organisations = Declaration["organisations"];

/** Share of what was due to each organisation that it got, in tokens; the lowest one. */
function worstServedShare(outcomes: Outcome[], organisations: Organisations, seconds: number): number {
    const shares = Object.entries(organisations).map(([name, { tokensPerSecond, burstTokens }]) => {
        const own = outcomes.filter(({ request }) => request.organisation === name);
        const offered = sum(own.map(({ request }) => tokensOf(request)));
        const due = Math.min(offered, tokensPerSecond * seconds + burstTokens);
        const served = sum(own.filter(outcome => outcome.served).map(({ request }) => tokensOf(request)));
        return due === 0 ? 1 : Math.min(1, served / due);
    });
    return Math.min(...shares);
}

/** Share of the requests which an ideal limiter would have admitted that were refused. */
function wrongfulRefusalShare(outcomes: Outcome[], organisations: Organisations): number {
    let admitted = 0;
    let wrongful = 0;
    for (const [name, { tokensPerSecond, burstTokens }] of Object.entries(organisations)) {
        let level = burstTokens;
        let at = 0;
        for (const { request, served, outputTokens } of outcomes) {
            if (request.organisation !== name) {
                continue;
            }
            level = Math.min(burstTokens, level + tokensPerSecond * (request.at - at) / 1_000);
            at = request.at;
            if (level < tokensOf(request)) {
                continue;
            }
            level -= request.promptTokens + (served ? outputTokens : request.maximumTokens);
            admitted++;
            wrongful += served ? 0 : 1;
        }
    }
    return admitted === 0 ? 0 : wrongful / admitted;
}

/** Percentiles of some numbers. */
function percentiles(values: number[]): { p50: number; p95: number; p99: number; } {
    const sorted = [...values].sort((left, right) => left - right);
    const at = (share: number) => round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0);
    return { p50: at(0.5), p95: at(0.95), p99: at(0.99) };
}

/** Rounds to four digits after the point. */
function round(value: number): number {
    return Math.round(value * 10_000) / 10_000;
}

/** Adds numbers up. */
function sum(values: number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

function tokensOf(request: ScheduledRequest): number {
    return request.promptTokens + request.maximumTokens;
}

/** Measures of an experiment. */
export const measures = { worstServedShare, wrongfulRefusalShare, percentiles, round, sum };
