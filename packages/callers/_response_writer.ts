import { once } from "node:events";
import type { ServerResponse } from "node:http";
import type { Completion } from "../routing/mod.ts";
import { Refusal } from "../verdicts/mod.ts";
import { writeRefusal } from "./_write_refusal.ts";
import type { ModelRequest } from "./model_request.ts";

/** Longest wait for a caller to read what was written; the connection is closed after it. */
const READ_TIMEOUT_MILLISECONDS = 10_000;

/** Writes a completion in the format of the OpenAI API, as one JSON body or as server-sent events. */
export class ResponseWriter {
    readonly #created = Math.floor(Date.now() / 1_000);
    readonly #tokens: string[] = [];
    #streaming = false;

    constructor(
        private readonly id: string,
        private readonly request: ModelRequest,
        private readonly response: ServerResponse,
    ) {}

    /** Writes the text of one token; waits while the response's buffer is full. */
    async write(text: string): Promise<void> {
        if (!this.request.stream) {
            this.#tokens.push(text);
            return;
        }
        this.#startStream();
        const choice = this.request.endpoint === "chat"
            ? { index: 0, delta: { content: text }, finish_reason: undefined }
            : { index: 0, text, finish_reason: undefined };
        await this.#writeEvent({ ...this.#envelope("chunk"), choices: [choice] });
    }

    /** Ends the response to a request that has succeeded. */
    async finish(completion: Completion): Promise<void> {
        const usage = {
            prompt_tokens: completion.promptTokens,
            completion_tokens: completion.outputTokens,
            total_tokens: completion.promptTokens + completion.outputTokens,
        };
        if (!this.request.stream) {
            this.#sendWhole(completion, usage);
            return;
        }
        this.#startStream();
        const emptyContent = this.request.endpoint === "chat" ? { delta: {} } : { text: "" };
        const choice = { index: 0, ...emptyContent, finish_reason: completion.finish };
        await this.#writeEvent({ ...this.#envelope("chunk"), choices: [choice], usage });
        this.response.end("data: [DONE]\n\n");
    }

    /** Sends a refusal: as the whole response before the first streamed token, otherwise as the last event. */
    refuse(refusal: Refusal): void {
        if (!this.#streaming) {
            writeRefusal(this.response, refusal);
            return;
        }
        this.response.end(`data: ${JSON.stringify(refusal.toBody())}\n\n`);
    }

    #sendWhole(completion: Completion, usage: object): void {
        const text = this.#tokens.join("");
        const content = this.request.endpoint === "chat" ? { message: { role: "assistant", content: text } } : { text };
        const choice = { index: 0, ...content, finish_reason: completion.finish };
        const body = JSON.stringify({ ...this.#envelope("whole"), choices: [choice], usage });
        this.response.writeHead(200, {
            "content-type": "application/json",
            "content-length": String(Buffer.byteLength(body)),
        });
        this.response.end(body);
    }

    #envelope(objectKind: "chunk" | "whole"): object {
        const chatObject = objectKind === "chunk" ? "chat.completion.chunk" : "chat.completion";
        const object = this.request.endpoint === "chat" ? chatObject : "text_completion";
        return { id: this.id, object, created: this.#created, model: this.request.model };
    }

    #startStream(): void {
        if (!this.#streaming) {
            this.#streaming = true;
            this.response.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-cache" });
        }
    }

    async #writeEvent(data: object): Promise<void> {
        if (this.response.write(`data: ${JSON.stringify(data)}\n\n`) || this.response.destroyed) {
            return;
        }
        const timeoutSignal = AbortSignal.timeout(READ_TIMEOUT_MILLISECONDS);
        try {
            await once(this.response, "drain", { signal: timeoutSignal });
        }
        catch {
            this.response.destroy();
        }
    }
}
