import { err, type Result } from "neverthrow";
import type { Refusal } from "../verdicts/mod.ts";
import { ModelRun } from "./_model_run.ts";
import type { Completion } from "./completion.ts";
import type { ModelJob } from "./model_job.ts";
import type { ModelRouterOptions } from "./model_router_options.ts";
import { RetryBudget } from "./retry_budget.ts";

/**
 * Serves model requests: charges the organisation, reserves engine capacity, runs prefill and streams the output.
 *
 * @example
 * ```ts
 * const router = new ModelRouter(options);
 * const completion = await router.run(job, async text => process.stdout.write(text), signal);
 * ```
 */
export class ModelRouter {
    readonly #retryBudget = new RetryBudget();

    /**
     * @param options Dependencies of the router.
     */
    constructor(private readonly options: ModelRouterOptions) {}

    /**
     * Serves one request.
     *
     * @param job The request.
     * @param emit Receives the output tokens in order, each once; may delay its promise to slow the stream down.
     * @param signal Aborts the request; a {@linkcode Refusal} as its reason is returned.
     * @returns How the completion ended, or a refusal.
     */
    async run(
        job: ModelJob,
        emit: (text: string) => Promise<void>,
        signal: AbortSignal,
    ): Promise<Result<Completion, Refusal>> {
        this.#retryBudget.recordRequest();
        const { limiter } = this.options;
        const amount = job.promptTokens + job.maximumTokens;
        const charge = await limiter.charge(job.organisation, job.id, amount, signal);
        if (charge.isErr()) {
            return err(charge.error);
        }
        const run = new ModelRun(job, charge.value, this.options, this.#retryBudget, emit, signal);
        return await run.execute();
    }
}
