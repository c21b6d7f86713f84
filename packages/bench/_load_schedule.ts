import { RandomSource } from "../randomness/mod.ts";
import { generatePrompt, type Workload } from "../workloads/mod.ts";
import { floodingOrganisation } from "./_flooding_organisation.ts";
import type { ScheduledRequest } from "./_scheduled_request.ts";
import type { Scenario } from "./scenario.ts";

const PEAK_FACTOR = 1.5;
const FLOOD_FACTOR = 5;
const BYTES_PER_TOKEN = 4;

/** Generates all requests of an experiment in advance, so that a slow system does not slow down the load. */
export function generateSchedule(
    workload: Workload,
    scenario: Scenario,
    seed: number,
    milliseconds: number,
): ScheduledRequest[] {
    const random = new RandomSource(seed);
    const organisations = Object.keys(workload.organisations);
    const factor = scenario === "peak" ? PEAK_FACTOR : 1;
    const requests: ScheduledRequest[] = [];
    for (const [index, organisation] of organisations.entries()) {
        const fraction = workload.trafficFractions[index] ?? 0;
        let rate = workload.steadyRequestsPerSecond * fraction * factor;
        if (scenario === "flood" && organisation === floodingOrganisation(workload)) {
            rate = FLOOD_FACTOR * sustainedRequestsPerSecond(workload, organisation);
        }
        for (let at = random.exponential(1_000 / rate); at < milliseconds; at += random.exponential(1_000 / rate)) {
            const prompt = generatePrompt(workload, random, `${organisation}:${requests.length}`);
            const { lowest, highest } = workload.maximumTokens;
            const maximumTokens = random.integer(lowest, highest);
            const promptTokens = Math.ceil(Buffer.byteLength(prompt) / BYTES_PER_TOKEN);
            requests.push({ at, organisation, prompt, promptTokens, maximumTokens });
        }
    }
    return requests.sort((left, right) => left.at - right.at);
}

/** Returns the requests per second that use up an organisation's rate. */
function sustainedRequestsPerSecond(workload: Workload, organisation: string): number {
    const { lowest, highest } = workload.historyTokens;
    const promptTokens = workload.sharedPrefixTokens + (lowest + highest) / 2;
    const outputTokens = (workload.maximumTokens.lowest + workload.maximumTokens.highest) / 2;
    return (workload.organisations[organisation]?.tokensPerSecond ?? 0) / (promptTokens + outputTokens);
}
