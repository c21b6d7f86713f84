import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";

/** A request with its whole body. */
interface StandInRequest {
    method: string;
    path: string;
    query: URLSearchParams;
    headers: IncomingMessage["headers"];
    body: string;
    response: ServerResponse;
}

type Faults = Record<string, unknown>;

/** Limit of heads in bytes, beyond that of routers; the one of Node.js is lower. */
const MAXIMUM_HEADER_BYTES = 131_072;

/**
 * HTTP server of a stand-in, with the control route `/control`: POST sets faults and, as `watchFor`, texts to search
 * requests for; both POST and GET return what was recorded.
 *
 * @example
 * ```ts
 * class Echo extends StandInServer {
 *     protected async answer(request) { this.reply(request.response, 200, { path: request.path }); }
 *     protected describe() { return {}; }
 * }
 * ```
 */
export abstract class StandInServer {
    protected faults: Faults = {};
    #watchedTexts: string[] = [];
    #watchedTextSeen = 0;
    #bytesSearched = 0;
    readonly #server: Server;

    /**
     * @param address IP address and port to listen at.
     */
    constructor(readonly address: string) {
        this.#server = createServer(
            { keepAliveTimeout: 60_000, maxHeaderSize: MAXIMUM_HEADER_BYTES },
            (request, response) => {
                response.on("error", () => {});
                this.#receive(request, response).catch(error => {
                    process.stderr.write(`stand-in failed to handle a request: ${String(error)}\n`);
                    response.destroy();
                });
            },
        );
    }

    /**
     * Starts listening.
     *
     * @returns A promise that resolves once the port is open.
     */
    async listen(): Promise<void> {
        const colon = this.address.lastIndexOf(":");
        this.#server.listen(Number(this.address.slice(colon + 1)), this.address.slice(0, colon));
        await once(this.#server, "listening");
    }

    /**
     * Closes the port and every connection, in order, as the kernel does for a process that is killed.
     *
     * @returns A promise that resolves once everything is closed.
     */
    async close(): Promise<void> {
        if (!this.#server.listening) {
            return;
        }
        const closed = once(this.#server, "close");
        this.#server.close();
        this.#server.closeAllConnections();
        await closed;
    }

    /** Handles one request. */
    protected abstract answer(request: StandInRequest): Promise<void>;

    /** Returns what the stand-in recorded, for the oracles. */
    protected abstract describe(): object;

    /** Called after faults were changed. */
    protected onFaultsChanged(): void {}

    /** Sends a JSON response. */
    protected reply(response: ServerResponse, status: number, body: unknown): void {
        response.writeHead(status, { "content-type": "application/json" });
        response.end(JSON.stringify(body));
    }

    /** Closes every connection, as a crashed process would. */
    protected dropConnections(): void {
        this.#server.closeAllConnections();
    }

    async #receive(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const chunks: Buffer[] = [];
        for await (const chunk of request) {
            chunks.push(chunk as Buffer);
        }
        const body = Buffer.concat(chunks).toString("utf8");
        const url = new URL(request.url ?? "/", "http://stand-in");
        if (url.pathname === "/control") {
            this.#handleControl(request.method ?? "GET", body, response);
            return;
        }
        this.#countWatchedTexts(`${request.url}\n${request.rawHeaders.join("\n")}\n${body}`);
        await this.answer({
            method: request.method ?? "GET",
            path: url.pathname,
            query: url.searchParams,
            headers: request.headers,
            body,
            response,
        });
    }

    #handleControl(method: string, body: string, response: ServerResponse): void {
        if (method === "POST") {
            const { watchFor, ...faults } = JSON.parse(body) as Faults & { watchFor?: string[]; };
            this.#watchedTexts = watchFor ?? this.#watchedTexts;
            this.faults = { ...this.faults, ...faults };
            this.onFaultsChanged();
        }
        const searchCounts = { watchedTextSeen: this.#watchedTextSeen, bytesSearched: this.#bytesSearched };
        this.reply(response, 200, { ...this.describe(), ...searchCounts });
    }

    /** Counts the requests that contain a text which must never reach a backend server, such as an API key. */
    #countWatchedTexts(text: string): void {
        this.#bytesSearched += text.length;
        if (this.#watchedTexts.some(watched => text.includes(watched))) {
            this.#watchedTextSeen++;
        }
    }
}
