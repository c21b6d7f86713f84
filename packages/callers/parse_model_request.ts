import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import { Refusal } from "../verdicts/mod.ts";
import type { ModelRequest } from "./model_request.ts";

const DEFAULT_MAXIMUM_TOKENS = 256;

const commonFields = {
    model: z.string().min(1).max(64),
    max_tokens: z.int().min(1).optional(),
    max_completion_tokens: z.int().min(1).optional(),
    stream: z.boolean().optional(),
    n: z.literal(1).optional(),
};

const textPart = z.object({ type: z.literal("text"), text: z.string() });

const chatSchema = z.object({
    ...commonFields,
    messages: z.array(z.object({
        role: z.string().max(32),
        content: z.union([z.string(), z.array(textPart)]),
    })).min(1),
});

const completionSchema = z.object({ ...commonFields, prompt: z.string() });

/**
 * Parses and validates the body of a model request.
 *
 * @param endpoint Endpoint that received the request.
 * @param body The body.
 * @returns The request, or a refusal that names the first invalid field.
 * @example
 * ```ts
 * parseModelRequest("completion", Buffer.from('{"model":"m","prompt":"Hello"}'));
 * ```
 */
export function parseModelRequest(endpoint: ModelRequest["endpoint"], body: Buffer): Result<ModelRequest, Refusal> {
    let json: unknown;
    try {
        json = JSON.parse(body.toString("utf8"));
    }
    catch {
        return err(malformedRequest("Cannot parse the body: it is not JSON"));
    }
    const parsed = endpoint === "chat" ? chatSchema.safeParse(json) : completionSchema.safeParse(json);
    if (!parsed.success) {
        const [issue] = parsed.error.issues;
        return err(malformedRequest(`Cannot parse the body: ${issue?.path.join(".")}: ${issue?.message}`));
    }
    const { data } = parsed;
    return ok({
        model: data.model,
        prompt: "messages" in data ? joinMessages(data.messages) : data.prompt,
        maximumTokens: data.max_completion_tokens ?? data.max_tokens ?? DEFAULT_MAXIMUM_TOKENS,
        stream: data.stream ?? false,
        endpoint,
    });
}

function joinMessages(messages: z.infer<typeof chatSchema>["messages"]): string {
    return messages
        .map(({ role, content }) => {
            const text = typeof content === "string" ? content : content.map(part => part.text).join("");
            return `<|${role}|>\n${text}\n`;
        })
        .join("");
}

function malformedRequest(message: string): Refusal {
    return new Refusal(400, "malformed-request", "not-run", message);
}
