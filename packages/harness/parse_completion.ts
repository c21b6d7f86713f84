import type { CallResult } from "./call_result.ts";

interface Choice {
    delta?: { content?: string; };
    message?: { content?: string; };
    text?: string;
    finish_reason?: string;
}

/** A completion as its caller received it. */
interface ReceivedCompletion {
    text: string;
    finish: string | undefined;
}

/**
 * Parses the completion of a model request from a whole response or from the events of a stream.
 *
 * @param result Result of the call.
 * @returns Text and finish reason; the latter is undefined if the completion is incomplete.
 * @example
 * ```ts
 * parseCompletion(result).text;
 * ```
 */
export function parseCompletion(result: CallResult): ReceivedCompletion {
    const lines = result.text.split("\n").filter(line => line.startsWith("data: {"));
    const payloads = lines.length > 0 ? lines.map(line => line.slice("data: ".length)) : [result.text];
    const completion: ReceivedCompletion = { text: "", finish: undefined };
    for (const payload of payloads) {
        const choice = parseChoice(payload);
        completion.text += choice?.delta?.content ?? choice?.message?.content ?? choice?.text ?? "";
        completion.finish = choice?.finish_reason ?? completion.finish;
    }
    return completion;
}

function parseChoice(text: string): Choice | undefined {
    try {
        return (JSON.parse(text) as { choices?: Choice[]; }).choices?.[0];
    }
    catch {
        return undefined;
    }
}
