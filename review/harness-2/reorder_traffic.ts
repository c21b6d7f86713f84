import { sleep } from "../../packages/clocks/mod.ts";
import type { CallResult, ReviewFleet } from "./review_fleet.ts";

/** `TimeoutMs` of the route, and the time after it within which an answer must have come (RULES.md, CONFIG). */
const TIMEOUT_MILLISECONDS = 1_500;
const ANSWER_MILLISECONDS = TIMEOUT_MILLISECONDS + 500;
const DEADLINE_MILLISECONDS = 3_000;
/** Fewest requests that are unanswered at the time-out for the rule to be judged. */
const LEAST_UNANSWERED = 8;
/** Time between two reorders to one instance: about the sheet's rate for one of six machines. */
const PERIOD_MILLISECONDS = 200;

/** A reorder and what its caller got. */
interface Reorder {
    instance: number;
    /** Time in milliseconds from the beginning of the traffic. */
    sentAt: number;
    result: CallResult;
}

/**
 * Reorders of ordinary callers, each on a connection of its own, to each instance at a steady rate. Callers keep to the
 * pages: they send a request that may not be repeated once and wait until its deadline.
 *
 * @example
 * ```ts
 * const traffic = new ReorderTraffic(fleet, 2);
 * await sleep(20_000);
 * const isBroken = await traffic.end(5_000);
 * ```
 */
export class ReorderTraffic {
    readonly #startedAt = performance.now();
    readonly #reorders: Promise<Reorder>[] = [];
    #ended = false;
    readonly #loop: Promise<void>;

    /**
     * @param fleet The fleet, whose instances are ready.
     * @param instances Number of its instances.
     */
    constructor(private readonly fleet: ReviewFleet, private readonly instances: number) {
        this.#loop = this.#send();
    }

    /** Time in milliseconds since the beginning. */
    get milliseconds(): number {
        return performance.now() - this.#startedAt;
    }

    /**
     * Ends the traffic and judges the rule for the requests that were sent after a time, for each instance.
     *
     * @param since Time in milliseconds from the beginning.
     * @returns Whether, at an instance, more than half of the requests that were unanswered at the route's time-out had no
     *     answer half a second later.
     */
    async end(since: number): Promise<boolean> {
        this.#ended = true;
        await this.#loop;
        const reorders = (await Promise.all(this.#reorders)).filter(({ sentAt }) => sentAt >= since);
        let isBroken = false;
        for (let instance = 0; instance < this.instances; instance++) {
            const own = reorders.filter(reorder => reorder.instance === instance);
            const unanswered = own.filter(({ result }) => !isAnswered(result, TIMEOUT_MILLISECONDS));
            const late = unanswered.filter(({ result }) => !isAnswered(result, ANSWER_MILLISECONDS));
            const served = own.filter(({ result }) => result.status === 200);
            this.fleet.record(
                `instance ${instance}: ${own.length} reorders, ${served.length} served, ${unanswered.length} unanswered at `
                    + `TimeoutMs, of which ${late.length} without an answer 0.5 s later`,
            );
            isBroken ||= unanswered.length >= LEAST_UNANSWERED && late.length > unanswered.length / 2;
        }
        return isBroken;
    }

    async #send(): Promise<void> {
        while (!this.#ended) {
            for (let instance = 0; instance < this.instances; instance++) {
                this.#reorders.push(this.#reorder(instance));
            }
            await sleep(PERIOD_MILLISECONDS);
        }
    }

    async #reorder(instance: number): Promise<Reorder> {
        const sentAt = this.milliseconds;
        const call = { method: "POST", path: "/order/1", body: "punch", deadline: DEADLINE_MILLISECONDS };
        const result = await this.fleet.call(instance, call);
        const end = result.status === 0 ? "no answer" : `status ${result.status}`;
        this.fleet.record(`${result.id} reorder at instance ${instance}: ${end} after ${result.milliseconds} ms`);
        return { instance, sentAt, result };
    }
}

function isAnswered({ status, milliseconds }: CallResult, within: number): boolean {
    return status !== 0 && milliseconds <= within;
}
