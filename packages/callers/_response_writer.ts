import type { ServerResponse } from "node:http";
import type { Completion } from "../routing/mod.ts";
import { Refusal } from "../verdicts/mod.ts";
import type { Exchange } from "./_exchange.ts";
import { waitForCaller } from "./_wait_for_caller.ts";
import { writeRefusal } from "./_write_refusal.ts";
import type { ModelRequest } from "./model_request.ts";

/** Longest wait for memory for a completion that is sent as a whole. */
const MEMORY_TIMEOUT_MILLISECONDS = 10_000;
/** Memory is reserved in parts of this size. */
const RESERVED_PART_BYTES = 4_096;
/** Memory of one token, beside its text. */
const TOKEN_OVERHEAD_BYTES = 64;
/** The text of a completion is held in tokens, as one string and in the body. */
const TEXT_COPIES = 3;

/** Writes a completion in the format of the OpenAI API, as one JSON body or as server-sent events. */
export class ResponseWriter {
    readonly #created = Math.floor(Date.now() / 1_000);
    readonly #tokens: string[] = [];
    readonly #response: ServerResponse;
    #streaming = false;
    #heldBytes = 0;
    #reservedBytes = 0;

    constructor(private readonly exchange: Exchange, private readonly request: ModelRequest) {
        this.#response = exchange.response;
    }

    /** Writes the text of one token; waits while the response's buffer is full. */
    async write(text: string): Promise<void> {
        if (!this.request.stream) {
            await this.#reserve(TOKEN_OVERHEAD_BYTES + TEXT_COPIES * Buffer.byteLength(text));
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
        this.#response.end("data: [DONE]\n\n");
    }

    /** Sends a refusal: as the whole response before the first streamed token, otherwise as the last event. */
    refuse(refusal: Refusal): void {
        if (!this.#streaming) {
            writeRefusal(this.#response, refusal);
            return;
        }
        this.#response.end(`data: ${JSON.stringify(refusal.toBody())}\n\n`);
    }

    #sendWhole(completion: Completion, usage: object): void {
        const text = this.#tokens.join("");
        const content = this.request.endpoint === "chat" ? { message: { role: "assistant", content: text } } : { text };
        const choice = { index: 0, ...content, finish_reason: completion.finish };
        const body = JSON.stringify({ ...this.#envelope("whole"), choices: [choice], usage });
        this.#response.writeHead(200, {
            "content-type": "application/json",
            "content-length": String(Buffer.byteLength(body)),
        });
        this.#response.end(body);
    }

    #envelope(objectKind: "chunk" | "whole"): object {
        const chatObject = objectKind === "chunk" ? "chat.completion.chunk" : "chat.completion";
        const object = this.request.endpoint === "chat" ? chatObject : "text_completion";
        return { id: this.exchange.id, object, created: this.#created, model: this.request.model };
    }

    #startStream(): void {
        if (!this.#streaming) {
            this.#streaming = true;
            this.#response.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-cache" });
        }
    }

    async #writeEvent(data: object): Promise<void> {
        if (this.#response.write(`data: ${JSON.stringify(data)}\n\n`) || this.#response.destroyed) {
            return;
        }
        await waitForCaller(this.#response, "drain");
    }

    /** Waits for memory; ends the request without it, since its completion cannot be held. */
    async #reserve(bytes: number): Promise<void> {
        this.#heldBytes += bytes;
        if (this.#heldBytes <= this.#reservedBytes) {
            return;
        }
        const { memory, signal, abort } = this.exchange;
        const missingBytes = Math.max(RESERVED_PART_BYTES, this.#heldBytes - this.#reservedBytes);
        const deadline = AbortSignal.any([signal, AbortSignal.timeout(MEMORY_TIMEOUT_MILLISECONDS)]);
        if (await memory.reserveAnswer(missingBytes, deadline)) {
            this.#reservedBytes += missingBytes;
            return;
        }
        if (!signal.aborted) {
            abort(new Refusal(503, "memory-full", "may-have-run", "The instance has no memory for the completion"));
        }
    }
}
