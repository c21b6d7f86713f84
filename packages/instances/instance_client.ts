import { isJSONRPCResponse, JSONRPCClient, type JSONRPCResponse } from "json-rpc-2.0";
import { err, ok, type Result } from "neverthrow";
import { randomBytes } from "node:crypto";
import { connect, type Socket } from "node:net";
import { handshake } from "./_handshake.ts";
import { TrafficCounters } from "./_traffic_counters.ts";
import { CallFailure } from "./call_failure.ts";
import { encodeFrame } from "./encode_frame.ts";
import { FrameDecoder } from "./frame_decoder.ts";
import type { InstanceClientOptions } from "./instance_client_options.ts";
import type { InstanceIdentity } from "./instance_identity.ts";
import { parseAddress } from "./parse_address.ts";

const DEFAULT_MAXIMUM_FRAME_BYTES = 4 * 1_024 * 1_024;
const CONNECT_TIMEOUT_MILLISECONDS = 2_000;
const DEFAULT_CALL_TIMEOUT_MILLISECONDS = 2_000;

/** A connection whose handshake is complete. */
interface Connection {
    socket: Socket;
    rpc: JSONRPCClient;
    incarnation: string;
}

/**
 * Calls one other instance over a persistent connection, which is reopened when needed.
 *
 * @example
 * ```ts
 * const client = new InstanceClient("127.0.0.1:7200", { name: "b", incarnation: "2" }, "secret", { metrics });
 * const result = await client.call<string>("echo", { text: "hello" });
 * client.close();
 * ```
 */
export class InstanceClient {
    #connection: Promise<Result<Connection, CallFailure>> | undefined;
    /** Socket of the latest connection; an earlier one may report its end after that was opened. */
    #socket: Socket | undefined;
    #closed = false;
    readonly #trafficCounters: TrafficCounters;

    /**
     * @param address IP address and port of the other instance.
     * @param identity Identity of this instance or operator.
     * @param secret Secret shared by all instances and operators.
     * @param options Options.
     */
    constructor(
        readonly address: string,
        private readonly identity: InstanceIdentity,
        private readonly secret: string,
        private readonly options: InstanceClientOptions,
    ) {
        this.#trafficCounters = new TrafficCounters(options.metrics);
    }

    /**
     * Calls a method.
     *
     * @param method Name of the method.
     * @param params Its parameters.
     * @param timeoutMilliseconds Time limit for the response.
     * @returns The result, or the failure.
     */
    async call<Value>(
        method: string,
        params: object,
        timeoutMilliseconds = DEFAULT_CALL_TIMEOUT_MILLISECONDS,
    ): Promise<Result<Value, CallFailure>> {
        const connection = await this.#connect();
        if (connection.isErr()) {
            return err(connection.error);
        }
        try {
            const value: unknown = await connection.value.rpc.timeout(timeoutMilliseconds).request(method, params);
            return ok(value as Value);
        }
        catch (error) {
            const message = error instanceof Error ? error.message : String(error);
            const kind = message === "Request timeout" ? "timeout" : "error";
            return err(new CallFailure(kind, "may-have-run", `Cannot call ${method}: ${message}`));
        }
    }

    /**
     * Calls a method without waiting for a result; a lost call is not reported.
     *
     * @param method Name of the method.
     * @param params Its parameters.
     * @returns A promise that resolves once the call is sent or has failed.
     */
    async notify(method: string, params: object): Promise<void> {
        const connection = await this.#connect();
        if (connection.isOk()) {
            connection.value.rpc.notify(method, params);
        }
    }

    /**
     * Sends an encoded frame; a lost frame is not reported.
     *
     * @param method Name of the method in the frame; its bytes are counted under this name.
     * @param frame The frame.
     * @returns A promise that resolves once the frame is sent or dropped.
     */
    async sendFrame(method: string, frame: Buffer): Promise<void> {
        const connection = await this.#connect();
        if (connection.isOk() && !connection.value.socket.destroyed) {
            this.#trafficCounters.sent(method, frame.length);
            connection.value.socket.write(frame);
        }
    }

    /** Whether a connection stands. */
    get isConnected(): boolean {
        return this.#connection !== undefined && this.#socket?.readyState === "open";
    }

    /** Closes the connection; calls in progress fail. */
    close(): void {
        this.#closed = true;
        this.#connection?.then(
            connection => connection.isOk() && connection.value.socket.destroy(),
            () => {},
        );
    }

    async #connect(): Promise<Result<Connection, CallFailure>> {
        if (this.#closed) {
            return err(new CallFailure("unreachable", "not-run", "The connection is closed"));
        }
        this.#connection ??= this.#open();
        const opening = this.#connection;
        const connection = await opening;
        // Another call may have opened a newer connection meanwhile.
        if (connection.isErr() && this.#connection === opening) {
            this.#connection = undefined;
        }
        return connection;
    }

    async #open(): Promise<Result<Connection, CallFailure>> {
        const socket = startConnection(this.address);
        if (socket instanceof CallFailure) {
            return err(socket);
        }
        this.#socket = socket;
        const connected = await waitForConnect(socket);
        if (connected.isErr()) {
            socket.destroy();
            return err(connected.error);
        }
        return await this.#performHandshake(socket);
    }

    #performHandshake(socket: Socket): Promise<Result<Connection, CallFailure>> {
        return new Promise(resolve => {
            const decoder = new FrameDecoder(this.options.maximumFrameBytes ?? DEFAULT_MAXIMUM_FRAME_BYTES);
            const clientNonce = randomBytes(16).toString("hex");
            let serverNonce: string | undefined;
            let connection: Connection | undefined;
            const fail = (kind: "unreachable" | "replaced", message: string) => {
                resolve(err(new CallFailure(kind, "not-run", message)));
                socket.destroy();
            };
            const timer = setTimeout(
                () => fail("unreachable", "The handshake timed out"),
                CONNECT_TIMEOUT_MILLISECONDS,
            );
            const receive = (message: unknown, bytes: number) => {
                if (connection) {
                    this.#receive(connection, message, bytes);
                    return;
                }
                if (serverNonce === undefined) {
                    serverNonce = handshake.challenge.parse(message).nonce;
                    socket.write(encodeFrame(this.#createHandshakeResponse(serverNonce, clientNonce)));
                    return;
                }
                clearTimeout(timer);
                const welcome = handshake.welcome.parse(message);
                if (!this.#verifyWelcome(welcome, serverNonce, clientNonce)) {
                    fail("unreachable", "The other instance did not prove that it knows the shared secret");
                    return;
                }
                const expectedIncarnation = this.options.incarnation;
                if (expectedIncarnation !== undefined && expectedIncarnation !== welcome.incarnation) {
                    fail("replaced", `Incarnation ${welcome.incarnation} responds, expected ${expectedIncarnation}`);
                    return;
                }
                connection = this.#createConnection(socket, welcome.incarnation);
                resolve(ok(connection));
            };
            socket.on("data", chunk => {
                try {
                    for (const frame of decoder.push(chunk as Buffer)) {
                        receive(frame.message, frame.bytes);
                    }
                }
                catch (error) {
                    fail("unreachable", String(error));
                }
            });
            socket.on("close", () => {
                clearTimeout(timer);
                if (this.#socket === socket) {
                    this.#connection = undefined;
                }
                connection?.rpc.rejectAllPendingRequests("Connection closed");
                resolve(err(new CallFailure("unreachable", "not-run", "Connection closed during the handshake")));
            });
        });
    }

    #createHandshakeResponse(serverNonce: string, clientNonce: string): object {
        const role = this.options.role ?? "instance";
        const { name, incarnation } = this.identity;
        const proof = handshake.prove(this.secret, "client", serverNonce, clientNonce, role, name, incarnation);
        return { role, name, incarnation, nonce: clientNonce, proof };
    }

    #verifyWelcome(
        welcome: { name: string; incarnation: string; proof: string; },
        serverNonce: string,
        clientNonce: string,
    ): boolean {
        const { name, incarnation, proof } = welcome;
        const expected = handshake.prove(this.secret, "server", serverNonce, clientNonce, name, incarnation);
        return handshake.matches(expected, proof);
    }

    #createConnection(socket: Socket, incarnation: string): Connection {
        const rpc = new JSONRPCClient(request => {
            if (socket.destroyed) {
                // Rejects a call; a notification has no response and is dropped.
                return request.id === undefined ? undefined : Promise.reject(new Error("Connection closed"));
            }
            const frame = encodeFrame(request, this.options.compress);
            this.#trafficCounters.sent(String(request.method), frame.length);
            socket.write(frame);
            return undefined;
        });
        return { socket, rpc, incarnation };
    }

    #receive(connection: Connection, message: unknown, bytes: number): void {
        if (!isJSONRPCResponse(message)) {
            throw new Error("Cannot read a frame: it is not a JSON-RPC response");
        }
        this.#trafficCounters.received("response", bytes);
        connection.rpc.receive(message as JSONRPCResponse);
    }
}

/** Starts a connection; Node throws for a port out of range. */
function startConnection(address: string): Socket | CallFailure {
    try {
        return connect({ ...parseAddress(address), noDelay: true });
    }
    catch (error) {
        const message = error instanceof Error ? error.message : String(error);
        return new CallFailure("unreachable", "not-run", `Cannot connect: ${message}`);
    }
}

function waitForConnect(socket: Socket): Promise<Result<void, CallFailure>> {
    return new Promise(resolve => {
        const timer = setTimeout(() => {
            resolve(err(new CallFailure("unreachable", "not-run", "The connection timed out")));
        }, CONNECT_TIMEOUT_MILLISECONDS);
        socket.once("connect", () => {
            clearTimeout(timer);
            resolve(ok(undefined));
        });
        socket.once("error", (error: Error & { code?: string; }) => {
            clearTimeout(timer);
            const kind = error.code === "ECONNREFUSED" ? "refused" : "unreachable";
            resolve(err(new CallFailure(kind, "not-run", `Cannot connect: ${error.message}`)));
        });
        // Later errors are followed by "close", whose handler rejects the calls in progress.
        socket.on("error", () => {});
    });
}
