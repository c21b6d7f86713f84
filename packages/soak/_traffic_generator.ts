import { sleep } from "../clocks/mod.ts";
import type { CallResult, Fleet } from "../harness/mod.ts";
import type { ObservedCall } from "../oracles/mod.ts";
import type { RandomSource } from "../randomness/mod.ts";
import { generatePrompt, type Workload } from "../workloads/mod.ts";

const MODEL_SHARE = 0.6;
const ONCE_ONLY_SHARE = 0.25;
const CANCEL_SHARE = 0.08;
const POISON_SHARE = 0.004;
const CONCURRENT_RESEND_SHARE = 0.3;
const MAXIMUM_RESENDS = 3;
const RESEND_MILLISECONDS = 400;
const FLOOD_FACTOR = 5;
/** A flood begins after this share of the run and lasts for as long again. */
const FLOOD_SHARE = 0.25;
const CALL_TIMEOUT_MILLISECONDS = 25_000;

/** Text whose presence in a prompt crashes each engine that computes it. */
export class TrafficGenerator {
    static readonly poison = "CRASH-THE-ENGINE";
    readonly calls: ObservedCall[] = [];
    /** Instance that each call went to, and whether it was the balancer's to choose. */
    readonly targets = new Map<ObservedCall, number>();
    readonly #running = new Set<Promise<void>>();
    /** Instances that the balancer sends to. */
    readonly balanced: Set<number>;
    #sequence = 0;

    constructor(
        private readonly fleet: Fleet,
        private readonly workload: Workload,
        private readonly random: RandomSource,
        /** Key that is used for an organisation at the moment; the call is counted under it. */
        private readonly keyOf: (organisation: string) => string,
        private readonly poisonAllowed: boolean,
    ) {
        this.balanced = new Set(fleet.instances.keys());
    }

    /** Sends calls for a time and waits for the last of them. */
    async run(milliseconds: number): Promise<void> {
        const startedAt = performance.now();
        while (performance.now() - startedAt < milliseconds) {
            const share = (performance.now() - startedAt) / milliseconds;
            const flooding = share > FLOOD_SHARE && share < 2 * FLOOD_SHARE;
            const rate = this.workload.steadyRequestsPerSecond;
            this.#start(this.#callAny(0));
            if (flooding) {
                for (let extra = 1; extra < FLOOD_FACTOR; extra++) {
                    this.#start(this.#callModel(Object.keys(this.fleet.organisations)[2] ?? ""));
                }
            }
            await sleep(Math.min(1_000, this.random.exponential(1_000 / rate)));
        }
        await Promise.all(this.#running);
    }

    #start(call: Promise<void>): void {
        this.#running.add(call);
        void call.finally(() => this.#running.delete(call));
    }

    async #callAny(resends: number): Promise<void> {
        const organisation = this.#organisation();
        const kind = this.random.next();
        if (kind < MODEL_SHARE) {
            await this.#callModel(organisation);
        }
        else if (kind < MODEL_SHARE + ONCE_ONLY_SHARE) {
            await this.#callOnceOnly(organisation, resends);
        }
        else {
            await this.#callStatus(organisation);
        }
    }

    /** Sends one model request to a certain instance. */
    async callModelAt(index: number): Promise<void> {
        await this.#callModel(this.#organisation(), index);
    }

    async #callModel(organisation: string, index?: number): Promise<void> {
        const label = `${organisation}:${this.#sequence++}`;
        const poisoned = this.poisonAllowed && this.random.chance(POISON_SHARE);
        const poison = poisoned ? TrafficGenerator.poison : "";
        const prompt = `${generatePrompt(this.workload, this.random, label)}${poison}`;
        const { lowest, highest } = this.workload.maximumTokens;
        const maximumTokens = this.random.integer(lowest, highest);
        const cancel = this.random.chance(CANCEL_SHARE) ? this.random.integer(5, 1_500) : undefined;
        const stream = this.random.chance(0.7);
        const body = { model: "drafting", prompt, max_tokens: maximumTokens, stream };
        const sends = poisoned ? MAXIMUM_RESENDS : 1;
        for (let send = 0; send < sends; send++) {
            const abort = new AbortController();
            const timer = cancel === undefined ? undefined : setTimeout(() => abort.abort(), cancel);
            const call = { kind: "model", label, organisation, prompt, maximumTokens } as const;
            await this.#observe(call, cancel !== undefined, "/v1/completions", { body, signal: abort.signal }, index);
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
        const concurrent = this.random.chance(CONCURRENT_RESEND_SHARE) ? [send(), send()] : [send()];
        let results = await Promise.all(concurrent);
        for (let resend = resends; resend < MAXIMUM_RESENDS; resend++) {
            if (results.some(({ status }) => status === 200)) {
                return;
            }
            await sleep(this.random.exponential(RESEND_MILLISECONDS));
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
        const target = index ?? this.random.pick([...this.balanced]);
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

    #organisation(): string {
        const names = Object.keys(this.fleet.organisations);
        let draw = this.random.next();
        for (const [index, share] of this.workload.trafficShares.entries()) {
            draw -= share;
            if (draw < 0) {
                return names[index] ?? "";
            }
        }
        return names[0] ?? "";
    }
}
