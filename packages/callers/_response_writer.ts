import { once } from "node:events";
import type { ServerResponse } from "node:http";
import type { Completion } from "../routing/mod.ts";
import { Refusal } from "../verdicts/mod.ts";
import { writeRefusal } from "./_write_refusal.ts";
import type { ModelRequest } from "./model_request.ts";

const SLOW_READER_MILLISECONDS = 10_000;

/** Writes a model's answer in the OpenAI-style form, whole or as server-sent events. */
export class ResponseWriter {
    readonly #created = Math.floor(Date.now() / 1_000);
    readonly #parts: string[] = [];
    #started = false;

    constructor(
        private readonly id: string,
        private readonly request: ModelRequest,
        private readonly response: ServerResponse,
    ) {}

    /** Takes one token; waits while the caller reads slowly. */
    async write(text: string): Promise<void> {
        if (!this.request.stream) {
            this.#parts.push(text);
            return;
        }
        this.#start();
        const choice = this.request.endpoint === "chat"
            ? { index: 0, delta: { content: text }, finish_reason: undefined }
            : { index: 0, text, finish_reason: undefined };
        await this.#event({ ...this.#head("chunk"), choices: [choice] });
    }

    /** Ends a complete answer. */
    async finish(completion: Completion): Promise<void> {
        const usage = {
            prompt_tokens: completion.promptTokens,
            completion_tokens: completion.outputTokens,
            total_tokens: completion.promptTokens + completion.outputTokens,
        };
        if (!this.request.stream) {
            this.#finishWhole(completion, usage);
            return;
        }
        this.#start();
        const end = this.request.endpoint === "chat" ? { delta: {} } : { text: "" };
        const choice = { index: 0, ...end, finish_reason: completion.finish };
        await this.#event({ ...this.#head("chunk"), choices: [choice], usage });
        this.response.end("data: [DONE]\n\n");
    }

    /** Ends an answer that is not complete, and says so. */
    refuse(refusal: Refusal): void {
        if (!this.#started) {
            writeRefusal(this.response, refusal);
            return;
        }
        this.response.end(`data: ${JSON.stringify(refusal.toBody())}\n\n`);
    }

    #finishWhole(completion: Completion, usage: object): void {
        const text = this.#parts.join("");
        const content = this.request.endpoint === "chat" ? { message: { role: "assistant", content: text } } : { text };
        const choice = { index: 0, ...content, finish_reason: completion.finish };
        const body = JSON.stringify({ ...this.#head("whole"), choices: [choice], usage });
        this.response.writeHead(200, {
            "content-type": "application/json",
            "content-length": String(Buffer.byteLength(body)),
        });
        this.response.end(body);
    }

    #head(part: "chunk" | "whole"): object {
        const chat = part === "chunk" ? "chat.completion.chunk" : "chat.completion";
        const object = this.request.endpoint === "chat" ? chat : "text_completion";
        return { id: this.id, object, created: this.#created, model: this.request.model };
    }

    #start(): void {
        if (!this.#started) {
            this.#started = true;
            this.response.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-cache" });
        }
    }

    async #event(data: object): Promise<void> {
        if (this.response.write(`data: ${JSON.stringify(data)}\n\n`) || this.response.destroyed) {
            return;
        }
        const deadline = AbortSignal.timeout(SLOW_READER_MILLISECONDS);
        try {
            await once(this.response, "drain", { signal: deadline });
        }
        catch {
            this.response.destroy();
        }
    }
}
