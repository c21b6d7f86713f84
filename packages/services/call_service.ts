import { err, ok, type Result } from "neverthrow";
import { request as httpRequest } from "node:http";
import { connect, type Socket } from "node:net";
import {
    type BackendResponse,
    type BodyMemory,
    hasStrayBytes,
    onBackendResponse,
    readResponseBody,
} from "../backends/mod.ts";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import { removeHopByHopHeaders } from "../headers/mod.ts";
import { ServiceFailure } from "./service_failure.ts";
import type { ServiceRequest } from "./service_request.ts";
import type { ServiceResponse } from "./service_response.ts";

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;
const MAXIMUM_RESPONSE_BYTES = 4 * 1_024 * 1_024;
const REQUEST_ID_HEADER = "x-request-id";

/**
 * Calls a service at most once, over a new connection; the call is never retried.
 *
 * Nothing is sent before the connection is established, so a failure to connect proves that the call has not run.
 *
 * @param address IP address and port, such as `127.0.0.1:80`.
 * @param request The call.
 * @param timeoutMilliseconds Time limit for the whole response, counted from the established connection.
 * @param confirmSend Called once the connection is established; if it returns false, nothing is sent.
 * @param memory Memory for the answer; while it has no room, nothing more is read. Default: unbounded.
 * @returns The response, or a failure that states whether the call may have run.
 * @example
 * ```ts
 * const request = { method: "GET", path: "/", headers: {}, body: Buffer.alloc(0) };
 * const response = await callService("127.0.0.1:80", request, 1_000);
 * ```
 */
export async function callService(
    address: string,
    request: ServiceRequest,
    timeoutMilliseconds: number,
    confirmSend: () => boolean = () => true,
    memory?: BodyMemory,
): Promise<Result<ServiceResponse, ServiceFailure>> {
    const socket = await openConnection(address);
    if (socket.isErr()) {
        return err(socket.error);
    }
    if (!confirmSend()) {
        socket.value.destroy();
        return err(new ServiceFailure("not-run", "The call was withdrawn before it was sent"));
    }
    return await sendRequest(address, socket.value, request, timeoutMilliseconds, memory);
}

function openConnection(address: string): Promise<Result<Socket, ServiceFailure>> {
    const colon = address.lastIndexOf(":");
    const socket = connect({ host: address.slice(0, colon), port: Number(address.slice(colon + 1)), noDelay: true });
    return new Promise(resolve => {
        const fail = (message: string) => {
            clearTimeout(timer);
            socket.destroy();
            resolve(err(new ServiceFailure("not-run", `Cannot connect to the service: ${message}`)));
        };
        const timer = setTimeout(() => fail("timeout"), CONNECT_TIMEOUT_MILLISECONDS);
        socket.once("error", error => fail(error.message));
        socket.once("connect", () => {
            clearTimeout(timer);
            resolve(ok(socket));
        });
    });
}

/**
 * Whether a service still accepts connections. Without framing, an answer that has ended does not differ from one whose service
 * was killed in the middle of it, as the kernel ends the connections of a process in order.
 */
async function isListening(address: string): Promise<boolean> {
    const connection = await openConnection(address);
    connection.map(socket => socket.destroy());
    return connection.isOk();
}

function sendRequest(
    address: string,
    socket: Socket,
    request: ServiceRequest,
    timeoutMilliseconds: number,
    memory: BodyMemory | undefined,
): Promise<Result<ServiceResponse, ServiceFailure>> {
    return new Promise(resolve => {
        const deadline = monotonicMilliseconds() + timeoutMilliseconds;
        const fail = (message: string) => {
            clearTimeout(timer);
            socket.destroy();
            resolve(err(new ServiceFailure("may-have-run", `The service's answer was lost: ${message}`)));
        };
        const timer = setTimeout(() => fail("timeout"), timeoutMilliseconds);
        const call = httpRequest({
            createConnection: () => socket,
            method: request.method,
            path: request.path,
            headers: { ...request.headers, "content-length": request.body.length, connection: "close" },
        });
        let received: BackendResponse | undefined;
        call.on("error", error => {
            // Bytes after the end of a complete answer close its connection; the answer itself is read and checked below.
            if (!received?.body.complete) {
                fail(error.message);
            }
        });
        const id = request.headers[REQUEST_ID_HEADER];
        const correlation = { header: REQUEST_ID_HEADER, value: typeof id === "string" ? id : undefined };
        onBackendResponse(call, correlation, response => {
            received = response;
            const remaining = Math.max(1, deadline - monotonicMilliseconds());
            void readResponseBody(response, remaining, MAXIMUM_RESPONSE_BYTES, memory).then(async body => {
                if (!body) {
                    fail("it was cut or too long, another one begins in it, or there was no memory for it in time");
                    return;
                }
                if (response.framing === "connection" && !await isListening(address)) {
                    fail("it ended with its connection, and the service has ended");
                    return;
                }
                clearTimeout(timer);
                const headers = removeHopByHopHeaders(response.body.headers);
                resolve(ok({ status: response.status, headers, body, isDoubtful: hasStrayBytes(response) }));
            });
        }, fail);
        call.end(request.body);
    });
}
