import { createHash, randomBytes } from "node:crypto";
import type { ServerResponse } from "node:http";
import { sleep } from "../clocks/mod.ts";
import { computeCompletion } from "./compute_completion.ts";
import type { EngineStandInOptions } from "./engine_stand_in_options.ts";
import { StandInServer } from "./stand_in_server.ts";

type Request = Parameters<StandInServer["answer"]>[0];

const DEFAULTS: Required<EngineStandInOptions> = {
    pieces: 20,
    tokensPerPiece: 4_000,
    bytesPerToken: 4,
    prefillTokensPerSecond: 20_000,
    stepMilliseconds: 20,
    stepMillisecondsPerRequest: 0.5,
    handleLifetimeMilliseconds: 800,
    linkTokensPerSecond: 200_000,
    prefixCacheTokens: 200_000,
    coldMilliseconds: 5_000,
    restartMilliseconds: 500,
    startsCold: false,
    networkMilliseconds: 0,
};
const PREFIX_CHUNK_CHARACTERS = 1_024;
/** Time for which a stream without a reader can be resumed. */
const RESUME_MILLISECONDS = 60_000;

/** Time for the response to a control request to be sent before the engine crashes. */
const CRASH_DELAY_MILLISECONDS = 20;

/** The KV cache that a prefill leaves, kept under its handle until a decode engine fetches it. */
interface PrefillResult {
    prompt: string;
    generated: string;
    promptTokens: number;
    expiresAt: number;
}

/** A decode request that occupies KV cache memory. */
interface Stream {
    request: string;
    pieces: number;
    prompt: string;
    /** Number of tokens generated in earlier passes. */
    offset: number;
    /** Index of the token before which the stream ends. */
    endIndex: number;
    generated: number;
    finished: boolean;
    /** Whether the tokens generated in earlier passes are those that this engine would have generated. */
    prefixMatches: boolean;
    reader: ServerResponse | undefined;
    buffer: string[];
    entry: TraceEntry;
}

/** Record of one request, read by the oracles. */
interface TraceEntry {
    request: string;
    /** Text between double square brackets in the prompt, by which a test identifies its request. */
    label: string;
    kind: "prefill" | "decode";
    at: number;
    promptTokens: number;
    maximumTokens: number;
    generated: number;
    /** Whether the engine crashed while it held the request. */
    crashed: boolean;
}

/**
 * Stand-in for a model engine, with the interface of docs/ENGINE.md: prefill, decode, resume, cancel, reports and
 * orders.
 *
 * Faults: `crash` (drops every request and restarts cold), `down` (closes the connection of each request),
 * `stallTransfers` (stalls each KV cache transfer), `crossEvents` (probability that an event carries another request's
 * id), `repeatEvents` (probability that an event is sent twice), `loseCancelAnswers` (probability that the response to
 * a cancel is dropped), `poison` (text in a prompt that crashes the engine), `poisonDelayMilliseconds` (time from the
 * arrival of such a prompt to the crash).
 *
 * @example
 * ```ts
 * const engine = new EngineStandIn("127.0.0.1:9000", { pieces: 20 });
 * await engine.listen();
 * ```
 */
export class EngineStandIn extends StandInServer {
    readonly #options: Required<EngineStandInOptions>;
    readonly #prefillResults = new Map<string, PrefillResult>();
    readonly #streams = new Map<string, Stream>();
    readonly #prefills = new Map<string, { cancelled: boolean; entry: TraceEntry; }>();
    readonly #prefixCache = new Map<string, number>();
    readonly #trace: TraceEntry[] = [];
    readonly #counts = {
        boots: 1,
        overloads: 0,
        memoryRefusals: 0,
        handleExpiries: 0,
        crossed: 0,
        repeated: 0,
        cancels: 0,
        lostCancelAnswers: 0,
        stalled: 0,
        poisoned: 0,
        mostPieces: 0,
        prefills: 0,
        prefillTokens: 0,
        cachedTokens: 0,
        transfers: 0,
        refusedOrders: 0,
    };
    #bootId = randomBytes(4).toString("hex");
    #coldSince: number;
    #lastPrefill: Promise<void> = Promise.resolve();
    #lastTransfer: Promise<void> = Promise.resolve();
    #stepsRunning = false;
    #downUntil = 0;
    #highestFence = 0;

    /**
     * @param address IP address and port.
     * @param options Sizes and speeds.
     */
    constructor(address: string, options: EngineStandInOptions = {}) {
        super(address);
        this.#options = { ...DEFAULTS, ...options };
        this.#coldSince = this.#options.startsCold ? performance.now() : Number.NEGATIVE_INFINITY;
    }

    /** @inheritdoc */
    protected async answer(request: Request): Promise<void> {
        const { method, path, response } = request;
        await sleep(this.#options.networkMilliseconds);
        if (this.faults["down"] === true || performance.now() < this.#downUntil) {
            response.destroy();
            return;
        }
        if (method === "POST" && path === "/v1/prefill") {
            await this.#prefill(request);
        }
        else if (method === "POST" && path === "/v1/decode") {
            await this.#decode(request);
        }
        else if (method === "GET" && path.startsWith("/v1/kv/")) {
            this.#sendPrefillResult(path.slice("/v1/kv/".length), response);
        }
        else if (method === "GET" && path.startsWith("/v1/streams/")) {
            this.#resume(decodeURIComponent(path.slice("/v1/streams/".length)), request);
        }
        else if (method === "DELETE" && path.startsWith("/v1/requests/")) {
            this.#cancel(decodeURIComponent(path.slice("/v1/requests/".length)), response);
        }
        else if (method === "GET" && path === "/v1/requests") {
            this.reply(response, 200, { bootId: this.#bootId, running: this.#running() });
        }
        else if (method === "POST" && path === "/v1/orders") {
            this.#handleOrder(request);
        }
        else {
            this.reply(response, 404, { error: "no such path" });
        }
    }

    /** @inheritdoc */
    protected describe(): object {
        const handles =
            [...this.#prefillResults.values()].filter(({ expiresAt }) => expiresAt > performance.now()).length;
        return { bootId: this.#bootId, running: this.#running(), handles, counts: this.#counts, trace: this.#trace };
    }

    /** @inheritdoc */
    protected override onFaultsChanged(): void {
        if (this.faults["crash"] === true) {
            this.faults["crash"] = false;
            setTimeout(() => this.#crash(), CRASH_DELAY_MILLISECONDS);
        }
    }

    async #prefill({ body, response }: Request): Promise<void> {
        const { request, prompt, generated } = JSON.parse(body) as {
            request: string;
            prompt: string;
            generated: string;
        };
        const promptTokens = this.#countTokens(prompt);
        const entry = this.#record({
            request,
            label: labelOf(prompt),
            kind: "prefill",
            at: Date.now(),
            promptTokens,
            maximumTokens: 0,
            generated: 0,
            crashed: false,
        });
        const poison = this.faults["poison"];
        if (typeof poison === "string" && poison !== "" && prompt.includes(poison)) {
            this.#counts.poisoned++;
            entry.crashed = true;
            await sleep(Number(this.faults["poisonDelayMilliseconds"] ?? 0));
            this.#crash();
            return;
        }
        const prefill = { cancelled: false, entry };
        this.#prefills.set(request, prefill);
        if (this.#crashIfOverloaded()) {
            return;
        }
        const cachedTokens = this.#usePrefixCache(prompt);
        const bootId = this.#bootId;
        await this.#computePrompt(promptTokens + this.#countTokens(generated) - cachedTokens, prefill);
        this.#prefills.delete(request);
        if (prefill.cancelled || bootId !== this.#bootId || response.destroyed) {
            response.destroy();
            return;
        }
        this.#counts.prefills++;
        this.#counts.prefillTokens += promptTokens;
        this.#counts.cachedTokens += cachedTokens;
        const handle = randomBytes(8).toString("hex");
        const lifetime = this.#options.handleLifetimeMilliseconds;
        this.#prefillResults.set(handle, { prompt, generated, promptTokens, expiresAt: performance.now() + lifetime });
        setTimeout(() => this.#prefillResults.delete(handle), lifetime + 100).unref();
        this.reply(response, 200, { handle, expiresInMilliseconds: lifetime, cachedTokens, promptTokens });
    }

    /** Computes prompts one at a time, in order of arrival. */
    async #computePrompt(tokens: number, prefill: { cancelled: boolean; }): Promise<void> {
        const previous = this.#lastPrefill;
        let finish = () => {};
        this.#lastPrefill = new Promise(resolve => {
            finish = resolve;
        });
        await previous;
        if (!prefill.cancelled) {
            await sleep(Math.max(0, tokens) / this.#options.prefillTokensPerSecond * 1_000);
        }
        finish();
    }

    async #decode({ body, response }: Request): Promise<void> {
        const parameters = JSON.parse(body) as {
            request: string;
            source: string;
            handle: string;
            offset: number;
            maximumTokens: number;
        };
        const bootId = this.#bootId;
        const entry = this.#record({
            request: parameters.request,
            label: "",
            kind: "decode",
            at: Date.now(),
            promptTokens: 0,
            maximumTokens: parameters.maximumTokens,
            generated: 0,
            crashed: false,
        });
        const prefillResult = await this.#fetchPrefillResult(parameters.source, parameters.handle, response);
        if (!prefillResult || bootId !== this.#bootId) {
            response.destroy();
            return;
        }
        entry.promptTokens = prefillResult.promptTokens;
        entry.label = labelOf(prefillResult.prompt);
        const pieces = Math.ceil(
            (prefillResult.promptTokens + parameters.maximumTokens) / this.#options.tokensPerPiece,
        );
        if (this.#usedPieces() + pieces > this.#options.pieces) {
            this.#counts.memoryRefusals++;
            this.reply(response, 503, { error: "no memory" });
            return;
        }
        const completion = computeCompletion(prefillResult.prompt);
        const prefix = Array.from({ length: parameters.offset }, (_, index) => completion.token(index)).join("");
        const stream: Stream = {
            request: parameters.request,
            pieces,
            prompt: prefillResult.prompt,
            offset: parameters.offset,
            endIndex: Math.min(completion.tokenCount, parameters.maximumTokens),
            generated: 0,
            finished: false,
            prefixMatches: prefix === prefillResult.generated,
            reader: response,
            buffer: [],
            entry,
        };
        this.#streams.set(parameters.request, stream);
        this.#counts.mostPieces = Math.max(this.#counts.mostPieces, this.#usedPieces());
        if (this.#crashIfOverloaded()) {
            return;
        }
        response.writeHead(200, { "content-type": "text/event-stream" });
        response.flushHeaders();
        response.on("close", () => {
            stream.reader = undefined;
        });
        this.#startSteps();
    }

    async #fetchPrefillResult(
        source: string,
        handle: string,
        response: ServerResponse,
    ): Promise<PrefillResult | undefined> {
        if (this.faults["stallTransfers"] === true) {
            this.#counts.stalled++;
            await sleep(RESUME_MILLISECONDS);
            return undefined;
        }
        const fetched = await fetch(`http://${source}/v1/kv/${handle}`).catch(() => undefined);
        if (!fetched?.ok) {
            this.#counts.handleExpiries++;
            this.reply(response, 410, { error: "no such KV cache" });
            return undefined;
        }
        const prefillResult = await fetched.json() as PrefillResult;
        this.#counts.transfers++;
        const previous = this.#lastTransfer;
        this.#lastTransfer = previous.then(() =>
            sleep(prefillResult.promptTokens / this.#options.linkTokensPerSecond * 1_000)
        );
        await this.#lastTransfer;
        return prefillResult;
    }

    #sendPrefillResult(handle: string, response: ServerResponse): void {
        const prefillResult = this.#prefillResults.get(handle);
        if (!prefillResult || prefillResult.expiresAt < performance.now()) {
            this.reply(response, 410, { error: "expired" });
            return;
        }
        this.#prefillResults.delete(handle);
        this.reply(response, 200, prefillResult);
    }

    #resume(id: string, { query, response }: Request): void {
        const stream = this.#streams.get(id);
        if (!stream) {
            this.reply(response, 404, { error: "no such stream" });
            return;
        }
        response.writeHead(200, { "content-type": "text/event-stream" });
        stream.reader = response;
        response.write(stream.buffer.slice(Number(query.get("offset") ?? 0)).join(""));
        if (stream.finished) {
            this.#end(stream);
        }
    }

    #cancel(id: string, response: ServerResponse): void {
        this.#counts.cancels++;
        const prefill = this.#prefills.get(id);
        if (prefill) {
            prefill.cancelled = true;
            this.#prefills.delete(id);
        }
        const stream = this.#streams.get(id);
        stream?.reader?.destroy();
        this.#streams.delete(id);
        if (Math.random() < Number(this.faults["loseCancelAnswers"] ?? 0)) {
            this.#counts.lostCancelAnswers++;
            response.destroy();
            return;
        }
        this.reply(response, 200, { generated: stream?.generated ?? 0 });
    }

    #handleOrder({ body, response }: Request): void {
        const { fence } = JSON.parse(body) as { fence: number; };
        if (fence < this.#highestFence) {
            this.#counts.refusedOrders++;
            this.reply(response, 409, { error: "old fencing number" });
            return;
        }
        this.#highestFence = fence;
        this.reply(response, 200, {});
    }

    #startSteps(): void {
        if (!this.#stepsRunning) {
            this.#stepsRunning = true;
            void this.#runSteps();
        }
    }

    /** Runs decoding steps until every request is finished. Each step generates one token per unfinished request. */
    async #runSteps(): Promise<void> {
        while (true) {
            const active = [...this.#streams.values()].filter(({ finished }) => !finished);
            if (active.length === 0) {
                this.#stepsRunning = false;
                return;
            }
            const { stepMilliseconds, stepMillisecondsPerRequest } = this.#options;
            await sleep(stepMilliseconds + stepMillisecondsPerRequest * active.length);
            active.forEach(stream => this.#step(stream));
        }
    }

    #step(stream: Stream): void {
        if (!this.#streams.has(stream.request)) {
            return;
        }
        const index = stream.offset + stream.generated;
        if (index >= stream.endIndex) {
            const tokenCount = computeCompletion(stream.prompt).tokenCount;
            this.#send(stream, { offset: index, finish: index >= tokenCount ? "stop" : "length" });
            stream.finished = true;
            this.#end(stream);
            return;
        }
        const text = stream.prefixMatches ? computeCompletion(stream.prompt).token(index) : "unfaithful ";
        stream.generated++;
        stream.entry.generated = stream.generated;
        this.#send(stream, { offset: index, text });
    }

    #send(stream: Stream, event: object): void {
        let request = stream.request;
        if (Math.random() < Number(this.faults["crossEvents"] ?? 0)) {
            this.#counts.crossed++;
            request = [...this.#streams.keys()].find(id => id !== stream.request) ?? "nobody/0/0.1";
        }
        const data = `data: ${JSON.stringify({ request, ...event })}\n\n`;
        stream.buffer.push(data);
        stream.reader?.write(data);
        if (Math.random() < Number(this.faults["repeatEvents"] ?? 0)) {
            this.#counts.repeated++;
            stream.reader?.write(data);
        }
    }

    /** Ends a finished stream. Without a reader, it is kept for some time because it can still be resumed. */
    #end(stream: Stream): void {
        if (stream.reader) {
            stream.reader.end();
            this.#streams.delete(stream.request);
            return;
        }
        setTimeout(() => this.#streams.delete(stream.request), RESUME_MILLISECONDS).unref();
    }

    /** Crashes a cold engine that has more load than it can handle yet; returns whether it crashed. */
    #crashIfOverloaded(): boolean {
        const warmUpFraction = (performance.now() - this.#coldSince) / this.#options.coldMilliseconds;
        const maximumLoad = warmUpFraction >= 1
            ? Number.POSITIVE_INFINITY
            : 1 + Math.floor(this.#options.pieces * warmUpFraction);
        const load = this.#prefills.size + [...this.#streams.values()].filter(({ finished }) => !finished).length;
        if (load <= maximumLoad) {
            return false;
        }
        this.#counts.overloads++;
        this.#crash();
        return true;
    }

    #crash(): void {
        this.#counts.boots++;
        this.#bootId = randomBytes(4).toString("hex");
        this.#downUntil = performance.now() + this.#options.restartMilliseconds;
        this.#coldSince = this.#downUntil;
        this.#streams.forEach(({ entry }) => {
            entry.crashed = true;
        });
        this.#streams.clear();
        this.#prefills.forEach(prefill => {
            prefill.cancelled = true;
            prefill.entry.crashed = true;
        });
        this.#prefills.clear();
        this.#prefillResults.clear();
        this.#prefixCache.clear();
        this.dropConnections();
    }

    /** Adds a prompt to the prefix cache; returns how many of its tokens were cached already. */
    #usePrefixCache(prompt: string): number {
        let cachedCharacters = 0;
        let hash = "";
        let matching = true;
        for (let end = PREFIX_CHUNK_CHARACTERS; end <= prompt.length; end += PREFIX_CHUNK_CHARACTERS) {
            const chunk = prompt.slice(end - PREFIX_CHUNK_CHARACTERS, end);
            hash = createHash("sha1").update(hash).update(chunk).digest("base64");
            matching &&= this.#prefixCache.has(hash);
            cachedCharacters = matching ? end : cachedCharacters;
            this.#prefixCache.delete(hash);
            this.#prefixCache.set(hash, end);
        }
        const maximumChunks = this.#options.prefixCacheTokens * this.#options.bytesPerToken / PREFIX_CHUNK_CHARACTERS;
        while (this.#prefixCache.size > maximumChunks) {
            const [oldest] = this.#prefixCache.keys();
            this.#prefixCache.delete(oldest ?? "");
        }
        return Math.floor(cachedCharacters / this.#options.bytesPerToken);
    }

    #running(): { id: string; pieces: number; }[] {
        const streams = [...this.#streams.values()].map(({ request, pieces }) => ({ id: request, pieces }));
        return [...streams, ...[...this.#prefills.keys()].map(id => ({ id, pieces: 1 }))];
    }

    #usedPieces(): number {
        return [...this.#streams.values()].reduce((sum, { pieces }) => sum + pieces, 0);
    }

    #countTokens(text: string): number {
        return Math.ceil(Buffer.byteLength(text) / this.#options.bytesPerToken);
    }

    #record(entry: TraceEntry): TraceEntry {
        this.#trace.push(entry);
        return entry;
    }
}

function labelOf(prompt: string): string {
    return /\[\[(.*?)\]\]/.exec(prompt)?.[1] ?? "";
}
