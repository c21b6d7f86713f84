import { JSONRPCErrorException, type JSONRPCRequest, JSONRPCServer } from "json-rpc-2.0";
import { randomBytes } from "node:crypto";
import { once } from "node:events";
import { createServer, type Server, type Socket } from "node:net";
import type * as z from "zod";
import type { Logger } from "../logs/mod.ts";
import { handshake } from "./_handshake.ts";
import { TrafficCounters } from "./_traffic_counters.ts";
import type { CallContext } from "./call_context.ts";
import { encodeFrame } from "./encode_frame.ts";
import { FrameDecoder } from "./frame_decoder.ts";
import type { InstanceIdentity } from "./instance_identity.ts";
import type { InstanceServerOptions } from "./instance_server_options.ts";
import { listen } from "./listen.ts";

const DEFAULT_MAXIMUM_FRAME_BYTES = 4 * 1_024 * 1_024;
const HANDSHAKE_TIMEOUT_MILLISECONDS = 5_000;
const HANDSHAKE_MAXIMUM_FRAME_BYTES = 1_024;
/** JSON-RPC error code for invalid parameters. */
const INVALID_PARAMS_CODE = -32_602;
/** Error code from the range that JSON-RPC leaves to servers. */
const NOT_PERMITTED_CODE = -32_001;

/**
 * Accepts connections from other instances and operators and runs their calls.
 *
 * @example
 * ```ts
 * const server = new InstanceServer({ name: "a", incarnation: "1" }, "secret", { metrics, logger });
 * server.handle("echo", z.object({ text: z.string() }), async ({ text }) => text);
 * await server.listen("127.0.0.1:7200");
 * await server.close();
 * ```
 */
export class InstanceServer {
    readonly #rpc = new JSONRPCServer<CallContext>({
        // The caller gets the error. Calls are counted by kind; failed calls are not logged one by one.
        errorListener: () => {},
    });
    /** The same methods, for notifications, which have no response. */
    readonly #methods = new Map<string, (params: unknown, context: CallContext) => Promise<unknown>>();
    readonly #sockets = new Set<Socket>();
    readonly #server: Server;
    readonly #trafficCounters: TrafficCounters;
    readonly #logger: Logger;
    readonly #maximumFrameBytes: number;
    readonly #compress: boolean;

    /**
     * @param identity Identity of this instance.
     * @param secret Secret shared by all instances and operators.
     * @param options Options.
     */
    constructor(
        private readonly identity: InstanceIdentity,
        private readonly secret: string,
        options: InstanceServerOptions,
    ) {
        this.#trafficCounters = new TrafficCounters(options.metrics);
        this.#logger = options.logger;
        this.#compress = options.compress ?? true;
        this.#maximumFrameBytes = options.maximumFrameBytes ?? DEFAULT_MAXIMUM_FRAME_BYTES;
        this.#server = createServer(socket => {
            this.#serve(socket).catch(error => {
                this.#logger.warn("instance connection closed", { error: String(error) });
                socket.destroy();
            });
        });
    }

    /**
     * Registers the handler of a method.
     *
     * @param method Name of the method.
     * @param schema Schema of its parameters.
     * @param handler Computes the result of a call.
     * @param role Role that the caller must have.
     */
    handle<Schema extends z.ZodType>(
        method: string,
        schema: Schema,
        handler: (params: z.infer<Schema>, context: CallContext) => Promise<unknown>,
        role: "instance" | "operator" | "any" = "instance",
    ): void {
        const run = async (params: unknown, context: CallContext) => {
            if (role !== "any" && role !== context.role) {
                throw new JSONRPCErrorException(`Cannot call ${method} as ${context.role}`, NOT_PERMITTED_CODE);
            }
            const parsed = schema.safeParse(params);
            if (!parsed.success) {
                throw new JSONRPCErrorException(`Cannot parse the parameters of ${method}`, INVALID_PARAMS_CODE);
            }
            return await handler(parsed.data, context) ?? {};
        };
        this.#rpc.addMethod(method, run);
        this.#methods.set(method, run);
    }

    /**
     * Runs a method of this instance without a connection.
     *
     * @param method Name of the method.
     * @param params Its parameters.
     * @returns The result.
     * @throws {Error} If the handler failed.
     */
    async invoke(method: string, params: object): Promise<unknown> {
        const request = { jsonrpc: "2.0" as const, id: 0, method, params };
        const response = await this.#rpc.receive(request, { role: "instance", ...this.identity });
        if (!response || response.error) {
            throw new Error(response?.error?.message ?? `No response from ${method}`);
        }
        return response.result;
    }

    /**
     * Starts listening.
     *
     * @param address IP address and port.
     * @returns A promise that resolves once the port is open.
     * @throws {Error} If the port stays in use.
     */
    async listen(address: string): Promise<void> {
        await listen(this.#server, address);
    }

    /**
     * Closes the port and every connection. Must be called only when the process is about to exit: a refused connection
     * proves to other instances that this one has terminated and holds nothing.
     *
     * @returns A promise that resolves once everything is closed.
     */
    async close(): Promise<void> {
        for (const socket of this.#sockets) {
            socket.destroy();
        }
        this.#server.close();
        await once(this.#server, "close");
    }

    async #serve(socket: Socket): Promise<void> {
        this.#sockets.add(socket);
        socket.setNoDelay(true);
        socket.on("error", () => socket.destroy());
        socket.on("close", () => this.#sockets.delete(socket));
        const context = await this.#authenticate(socket);
        if (!context) {
            this.#logger.warn("rejected an instance connection: handshake failed", { remote: socket.remoteAddress });
            socket.destroy();
            return;
        }
        const decoder = new FrameDecoder(this.#maximumFrameBytes);
        // Costs less than an asynchronous iterator, as reports of other instances arrive all the time.
        socket.on("data", (chunk: Buffer) => {
            try {
                for (const frame of decoder.push(chunk)) {
                    this.#respond(socket, frame.message as JSONRPCRequest, frame.bytes, context);
                }
            }
            catch (error) {
                this.#logger.warn("instance connection closed", { error: String(error) });
                socket.destroy();
            }
        });
        socket.resume();
    }

    async #authenticate(socket: Socket): Promise<CallContext | undefined> {
        const nonce = randomBytes(16).toString("hex");
        socket.write(encodeFrame({ nonce }));
        const message = await readFrame(socket);
        const response = handshake.response.safeParse(message);
        if (!response.success) {
            return undefined;
        }
        const { role, name, incarnation, proof } = response.data;
        const expected = handshake.prove(this.secret, "client", nonce, response.data.nonce, role, name, incarnation);
        if (!handshake.matches(expected, proof)) {
            return undefined;
        }
        socket.write(encodeFrame({
            ...this.identity,
            proof: handshake.prove(
                this.secret,
                "server",
                nonce,
                response.data.nonce,
                this.identity.name,
                this.identity.incarnation,
            ),
        }));
        return { role, name, incarnation };
    }

    #respond(socket: Socket, request: JSONRPCRequest, bytes: number, context: CallContext): void {
        const kind = this.#rpc.hasMethod(request.method) ? request.method : "unknown";
        this.#trafficCounters.received(kind, bytes);
        if (request.id === undefined) {
            // The sender gets no result and no error. The library's path for calls takes several times as long.
            this.#methods.get(request.method)?.(request.params, context)
                .catch(() => this.#trafficCounters.failed(kind));
            return;
        }
        this.#call(socket, request, kind, context).catch((error: unknown) => {
            // The caller must not wait for a response that cannot be encoded.
            this.#logger.error("call failed", { kind, error: String(error) });
            socket.destroy();
        });
    }

    async #call(socket: Socket, request: JSONRPCRequest, kind: string, context: CallContext): Promise<void> {
        const response = await this.#rpc.receive(request, context);
        if (response && !socket.destroyed) {
            const frame = encodeFrame(response, this.#compress);
            this.#trafficCounters.sent(kind, frame.length);
            socket.write(frame);
        }
    }
}

async function readFrame(socket: Socket): Promise<unknown> {
    const decoder = new FrameDecoder(HANDSHAKE_MAXIMUM_FRAME_BYTES);
    const signal = AbortSignal.timeout(HANDSHAKE_TIMEOUT_MILLISECONDS);
    while (true) {
        const [chunk] = await once(socket, "data", { signal }) as [Buffer];
        socket.pause();
        const [frame] = decoder.push(chunk);
        if (frame) {
            return frame.message;
        }
        socket.resume();
    }
}
