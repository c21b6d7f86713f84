import type { Declaration } from "../configuration/mod.ts";
import type { Outcome } from "./_outcome.ts";
import type { ScheduledRequest } from "./_scheduled_request.ts";

type Organisations = Declaration["organisations"];

/** Returns the served fraction of the tokens requested within the limit, for the organisation where it is lowest. */
function lowestServedFraction(outcomes: Outcome[], organisations: Organisations, seconds: number): number {
    const fractions = Object.entries(organisations).map(([name, { tokensPerSecond, burstTokens }]) => {
        const own = outcomes.filter(({ request }) => request.organisation === name);
        const offered = sum(own.map(({ request }) => maximumTokensOf(request)));
        const due = Math.min(offered, tokensPerSecond * seconds + burstTokens);
        const served = sum(own.filter(outcome => outcome.served).map(({ request }) => maximumTokensOf(request)));
        return due === 0 ? 1 : Math.min(1, served / due);
    });
    return Math.min(...fractions);
}

/** Returns the fraction of the requests admitted by an ideal limiter that were not served. */
function wrongfulRefusalFraction(outcomes: Outcome[], organisations: Organisations): number {
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
            if (level < maximumTokensOf(request)) {
                continue;
            }
            level -= request.promptTokens + (served ? outputTokens : request.maximumTokens);
            admitted++;
            wrongful += served ? 0 : 1;
        }
    }
    return admitted === 0 ? 0 : wrongful / admitted;
}

/** Returns the 50th, 95th and 99th percentile. */
function percentiles(values: number[]): { p50: number; p95: number; p99: number; } {
    const sorted = [...values].sort((left, right) => left - right);
    const percentile = (fraction: number) =>
        round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0);
    return { p50: percentile(0.5), p95: percentile(0.95), p99: percentile(0.99) };
}

/** Rounds to four decimal places. */
function round(value: number): number {
    return Math.round(value * 10_000) / 10_000;
}

function sum(values: number[]): number {
    return values.reduce((total, value) => total + value, 0);
}

/** Returns the most tokens that a request can use. */
function maximumTokensOf(request: ScheduledRequest): number {
    return request.promptTokens + request.maximumTokens;
}

/** Functions that compute the measures of an experiment. */
export const measures = { lowestServedFraction, wrongfulRefusalFraction, percentiles, round, sum };
