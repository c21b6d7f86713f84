import { err, ok, type Result } from "neverthrow";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import { estimateTokens, findSelector } from "../routing/mod.ts";
import { fingerprintRequest } from "../suspects/mod.ts";
import { Refusal } from "../verdicts/mod.ts";
import type { Exchange } from "./_exchange.ts";
import { ResponseWriter } from "./_response_writer.ts";
import type { ModelHandlerOptions } from "./model_handler_options.ts";
import type { ModelRequest } from "./model_request.ts";
import { parseModelRequest } from "./parse_model_request.ts";

/**
 * Serves `/v1/chat/completions` and `/v1/completions`.
 *
 * @example
 * ```ts
 * const handler = new ModelHandler({ configuration, router, metrics });
 * ```
 */
export class ModelHandler {
    /**
     * @param options Dependencies of the handler.
     */
    constructor(private readonly options: ModelHandlerOptions) {}

    /**
     * Serves one request.
     *
     * @param exchange The request and its response.
     * @param endpoint Endpoint that received the request.
     * @returns The refusal, if any; the server sends it unless the response has already ended.
     */
    async handle(exchange: Exchange, endpoint: ModelRequest["endpoint"]): Promise<Refusal | undefined> {
        const startedAt = monotonicMilliseconds();
        const parsed = parseModelRequest(endpoint, exchange.body).andThen(request => this.#validate(request, exchange));
        if (parsed.isErr()) {
            return parsed.error;
        }
        const { request, promptTokens } = parsed.value;
        const { organisation } = exchange.caller;
        const { model, prompt, maximumTokens } = request;
        const writer = new ResponseWriter(exchange, request);
        let isFirstToken = true;
        const result = await this.options.router.run(
            {
                id: exchange.id,
                organisation,
                model,
                prompt,
                fingerprint: fingerprintRequest(organisation, model, prompt),
                promptTokens,
                maximumTokens,
            },
            async text => {
                if (isFirstToken) {
                    this.options.metrics.observe("first_token", monotonicMilliseconds() - startedAt);
                    isFirstToken = false;
                }
                await writer.write(text);
            },
            exchange.signal,
        );
        if (result.isErr()) {
            writer.refuse(result.error);
            return result.error;
        }
        await writer.finish(result.value);
        return undefined;
    }

    #validate(
        request: ModelRequest,
        exchange: Exchange,
    ): Result<{ request: ModelRequest; promptTokens: number; }, Refusal> {
        const { document } = this.options.configuration;
        const model = Object.hasOwn(document.models, request.model) ? document.models[request.model] : undefined;
        if (!model) {
            return err(new Refusal(404, "model-unknown", "not-run", `Model ${request.model} is not known`));
        }
        const promptTokens = estimateTokens(request.prompt, model.bytesPerToken);
        const tokens = promptTokens + request.maximumTokens;
        if (tokens > model.contextTokens) {
            const message = `Prompt and answer may take ${tokens} tokens; the model's limit is ${model.contextTokens}`;
            return err(new Refusal(400, "prompt-too-large", "not-run", message));
        }
        const selector = findSelector(document, exchange.caller.organisation, request.model);
        const limit = selector?.maximumOutputTokens ?? Number.POSITIVE_INFINITY;
        if (request.maximumTokens > limit) {
            const message = `max_tokens is above the limit of ${limit}`;
            return err(new Refusal(400, "malformed-request", "not-run", message));
        }
        return ok({ request, promptTokens });
    }
}
