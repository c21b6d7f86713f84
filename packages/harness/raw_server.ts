import { createServer, type Server, type Socket } from "node:net";

const HEAD_END = "\r\n\r\n";

/**
 * Server whose answers are written byte by byte by a test, to break HTTP in any way.
 *
 * @example
 * ```ts
 * const server = await RawServer.start();
 * server.respond = socket => socket.write(RawServer.answer("body"));
 * await fetch(`http://${server.address}/`);
 * await server.close();
 * ```
 */
export class RawServer {
    /** Answers a request that has arrived as a whole; its number counts from 1. */
    respond: (socket: Socket, request: number) => void = () => {};
    #requests = 0;
    readonly #sockets = new Set<Socket>();
    readonly #server: Server = createServer(socket => this.#receive(socket));

    private constructor() {}

    /**
     * Starts a server on a free port of this machine.
     *
     * @returns The server, listening.
     */
    static async start(): Promise<RawServer> {
        const server = new RawServer();
        await new Promise<void>(resolve => server.#server.listen(0, "127.0.0.1", resolve));
        return server;
    }

    /**
     * Returns the bytes of an answer.
     *
     * @param body Its body, in ASCII.
     * @param headers Further headers, each with its line end.
     * @returns The answer.
     */
    static answer(body: string, headers = ""): string {
        return `HTTP/1.1 200 OK\r\n${headers}Content-Length: ${body.length}${HEAD_END}${body}`;
    }

    /** IP address and port. */
    get address(): string {
        const address = this.#server.address();
        return `127.0.0.1:${typeof address === "object" ? address?.port : 0}`;
    }

    /** Number of requests that have arrived. */
    get requests(): number {
        return this.#requests;
    }

    /**
     * Closes the port and every connection.
     *
     * @returns A promise that resolves once all are closed.
     */
    async close(): Promise<void> {
        this.#sockets.forEach(socket => socket.destroy());
        await new Promise(resolve => this.#server.close(resolve));
    }

    #receive(socket: Socket): void {
        this.#sockets.add(socket);
        let text = "";
        socket.on("error", () => {});
        socket.on("close", () => this.#sockets.delete(socket));
        socket.on("data", chunk => {
            text += chunk.toString("latin1");
            const headEnd = text.indexOf(HEAD_END);
            const bodyBytes = Number(/content-length: (\d+)/i.exec(text.slice(0, headEnd))?.[1] ?? 0);
            if (headEnd !== -1 && text.length >= headEnd + HEAD_END.length + bodyBytes) {
                text = "";
                this.respond(socket, ++this.#requests);
            }
        });
    }
}
