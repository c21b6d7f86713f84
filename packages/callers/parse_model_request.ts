import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import { Refusal } from "../verdicts/mod.ts";
import type { ModelRequest } from "./model_request.ts";

const DEFAULT_MAXIMUM_TOKENS = 256;

const common = {
    model: z.string().min(1).max(64),
    max_tokens: z.int().min(1).optional(),
    max_completion_tokens: z.int().min(1).optional(),
    stream: z.boolean().optional(),
    n: z.literal(1).optional(),
};

const part = z.object({ type: z.literal("text"), text: z.string() });

const chatSchema = z.object({
    ...common,
    messages: z.array(z.object({
        role: z.string().max(32),
        content: z.union([z.string(), z.array(part)]),
    })).min(1),
});

const completionSchema = z.object({ ...common, prompt: z.string() });

/**
 * Parses the body of a request for a model's answer.
 *
 * @param endpoint Chat or completion.
 * @param body The body.
 * @returns The request, or a refusal that names the first field in error.
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
        return err(malformed("Cannot parse the body: it is not JSON"));
    }
    const parsed = endpoint === "chat" ? chatSchema.safeParse(json) : completionSchema.safeParse(json);
    if (!parsed.success) {
        const [issue] = parsed.error.issues;
        return err(malformed(`Cannot parse the body: ${issue?.path.join(".")}: ${issue?.message}`));
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

function malformed(message: string): Refusal {
    return new Refusal(400, "malformed-request", "not-run", message);
}
