import { sleep } from "../clocks/mod.ts";
import type { CallResult, Fleet } from "../harness/mod.ts";
import type { ObservedCall } from "../oracles/mod.ts";
import type { RandomSource } from "../randomness/mod.ts";
import { generatePrompt, type Workload } from "../workloads/mod.ts";

const MODEL_PROBABILITY = 0.6;
const ONCE_ONLY_PROBABILITY = 0.25;
const CANCEL_PROBABILITY = 0.08;
const POISON_PROBABILITY = 0.004;
const CONCURRENT_RESEND_PROBABILITY = 0.3;
const MAXIMUM_RESENDS = 3;
const MEAN_RESEND_MILLISECONDS = 400;
const FLOOD_FACTOR = 5;
/** Fraction of the run after which a flood begins; the flood lasts as long. */
const FLOOD_FRACTION = 0.25;
const CALL_TIMEOUT_MILLISECONDS = 25_000;

/** Sends random traffic to a fleet and records what the callers saw. */
export class TrafficGenerator {
    /** Text in a prompt that crashes each engine which computes it. */
    static readonly poison = "CRASH-THE-ENGINE";
    readonly calls: ObservedCall[] = [];
    /** Index of the instance that each call was sent to. */
    readonly targets = new Map<ObservedCall, number>();
    readonly #running = new Set<Promise<void>>();
    /** Indexes of the instances that the load balancer sends to. */
    readonly loadBalancerTargets: Set<number>;
    #sequence = 0;

    constructor(
        private readonly fleet: Fleet,
        private readonly workload: Workload,
        private readonly random: RandomSource,
        /** Returns the API key that callers of an organisation currently use; each call records it. */
        private readonly keyOf: (organisation: string) => string,
        private readonly poisonAllowed: boolean,
    ) {
        this.loadBalancerTargets = new Set(fleet.instances.keys());
    }

    /** Sends calls for the given time and waits until all of them have ended. */
    async run(milliseconds: number): Promise<void> {
        const startedAt = performance.now();
        while (performance.now() - startedAt < milliseconds) {
            const fraction = (performance.now() - startedAt) / milliseconds;
            const flooding = fraction > FLOOD_FRACTION && fraction < 2 * FLOOD_FRACTION;
            const rate = this.workload.steadyRequestsPerSecond;
            this.#track(this.#callRandomRoute(0));
            if (flooding) {
                for (let extra = 1; extra < FLOOD_FACTOR; extra++) {
                    this.#track(this.#callModel(Object.keys(this.fleet.organisations)[2] ?? ""));
                }
            }
            await sleep(Math.min(1_000, this.random.exponential(1_000 / rate)));
        }
        await Promise.all(this.#running);
    }

    #track(call: Promise<void>): void {
        this.#running.add(call);
        void call.finally(() => this.#running.delete(call));
    }

    async #callRandomRoute(resends: number): Promise<void> {
        const organisation = this.#pickOrganisation();
        const draw = this.random.next();
        if (draw < MODEL_PROBABILITY) {
            await this.#callModel(organisation);
        }
        else if (draw < MODEL_PROBABILITY + ONCE_ONLY_PROBABILITY) {
            await this.#callOnceOnly(organisation, resends);
        }
        else {
            await this.#callStatus(organisation);
        }
    }

    /** Sends one model request to the given instance. */
    async callModelAt(index: number): Promise<void> {
        await this.#callModel(this.#pickOrganisation(), index);
    }

    async #callModel(organisation: string, index?: number): Promise<void> {
        const label = `${organisation}:${this.#sequence++}`;
        const poisoned = this.poisonAllowed && this.random.chance(POISON_PROBABILITY);
        const poison = poisoned ? TrafficGenerator.poison : "";
        const prompt = `${generatePrompt(this.workload, this.random, label)}${poison}`;
        const { lowest, highest } = this.workload.maximumTokens;
        const maximumTokens = this.random.integer(lowest, highest);
        const cancelMilliseconds = this.random.chance(CANCEL_PROBABILITY) ? this.random.integer(5, 1_500) : undefined;
        const stream = this.random.chance(0.7);
        const body = { model: "drafting", prompt, max_tokens: maximumTokens, stream };
        const sendCount = poisoned ? MAXIMUM_RESENDS : 1;
        for (let send = 0; send < sendCount; send++) {
            const abort = new AbortController();
            const timer = cancelMilliseconds === undefined
                ? undefined
                : setTimeout(() => abort.abort(), cancelMilliseconds);
            const call = { kind: "model", label, organisation, prompt, maximumTokens } as const;
            await this.#observe(call, cancelMilliseconds !== undefined, "/v1/completions", {
                body,
                signal: abort.signal,
            }, index);
            clearTimeout(timer);
        }
    }

    async #callOnceOnly(organisation: string, resends: number): Promise<void> {
        const label = `order-${this.#sequence++}`;
        const send = () =>
            this.#observe(
                { kind: "once-only", label, organisation, prompt: "", maximumTokens: 0 },
                false,
                "/v1/orders",
                { body: { item: label }, headers: { "idempotency-key": label } },
            );
        const concurrent = this.random.chance(CONCURRENT_RESEND_PROBABILITY) ? [send(), send()] : [send()];
        let results = await Promise.all(concurrent);
        for (let resend = resends; resend < MAXIMUM_RESENDS; resend++) {
            if (results.some(({ status }) => status === 200)) {
                return;
            }
            await sleep(this.random.exponential(MEAN_RESEND_MILLISECONDS));
            results = [await send()];
        }
    }

    async #callStatus(organisation: string): Promise<void> {
        const label = `status-${this.#sequence++}`;
        const call = { kind: "idempotent", label, organisation, prompt: "", maximumTokens: 0 } as const;
        await this.#observe(call, false, `/v1/status/${label}`, {});
    }

    async #observe(
        call: Pick<ObservedCall, "kind" | "label" | "organisation" | "prompt" | "maximumTokens">,
        cancelled: boolean,
        path: string,
        options: object,
        index?: number,
    ): Promise<CallResult> {
        const target = index ?? this.random.pick([...this.loadBalancerTargets]);
        const startedAt = Date.now();
        const key = this.keyOf(call.organisation);
        const result = await this.fleet.call(target, path, {
            key,
            timeoutMilliseconds: CALL_TIMEOUT_MILLISECONDS,
            ...options,
        });
        const observed: ObservedCall = { ...call, key, startedAt, endedAt: Date.now(), cancelled, result };
        this.calls.push(observed);
        this.targets.set(observed, target);
        return result;
    }

    #pickOrganisation(): string {
        const names = Object.keys(this.fleet.organisations);
        let draw = this.random.next();
        for (const [index, fraction] of this.workload.trafficFractions.entries()) {
            draw -= fraction;
            if (draw < 0) {
                return names[index] ?? "";
            }
        }
        return names[0] ?? "";
    }
}
