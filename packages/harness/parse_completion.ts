import type { CallResult } from "./call_result.ts";

interface Choice {
    delta?: { content?: string; };
    message?: { content?: string; };
    text?: string;
    finish_reason?: string;
}

/** A model's answer as its caller got it. */
interface Answer {
    text: string;
    finish: string | undefined;
}

/**
 * Puts a model's answer together.
 *
 * @param result What the caller saw.
 * @returns Text and finish reason; the latter is absent if the answer is not complete.
 * @example
 * ```ts
 * answerOf(result).text;
 * ```
 */
export function parseCompletion(result: CallResult): Answer {
    const lines = result.text.split("\n").filter(line => line.startsWith("data: {"));
    const parts = lines.length > 0 ? lines.map(line => line.slice("data: ".length)) : [result.text];
    const answer: Answer = { text: "", finish: undefined };
    for (const part of parts) {
        const choice = parseChoice(part);
        answer.text += choice?.delta?.content ?? choice?.message?.content ?? choice?.text ?? "";
        answer.finish = choice?.finish_reason ?? answer.finish;
    }
    return answer;
}

function parseChoice(text: string): Choice | undefined {
    try {
        return (JSON.parse(text) as { choices?: Choice[]; }).choices?.[0];
    }
    catch {
        return undefined;
    }
}
