import { randomBytes } from "node:crypto";
import { Agent, request as startRequest } from "node:http";

/** A request as its client sent it, and how it ended. Times are Unix milliseconds. */
export interface Call {
    id: string;
    instance: string;
    path: string;
    key: string | undefined;
    sentAt: number;
    /** 0 until the request has ended. */
    endedAt: number;
    /** 0 if there was no response. */
    status: number;
    body: string;
    signed: boolean;
    /** Whether the response ended before its end. */
    broken: boolean;
    /** Why there was no complete response. */
    error: string | undefined;
}

/** What a client sends. */
export interface CallOptions {
    address: string;
    instance: string;
    path: string;
    method?: string;
    key?: string;
    body?: string;
    /** Milliseconds that the client waits. */
    deadline?: number;
    headers?: Record<string, string>;
    agent?: Agent;
}

const HOST = "app.example";

/**
 * Sends one request as a client of the platform does, and waits until it has ended or the client has given up.
 *
 * @param options The request; times in milliseconds.
 * @param calls Takes the call as soon as it is sent.
 * @returns The call. Errors of the connection stand in its field `error`; nothing is thrown.
 */
export function sendCall(options: CallOptions, calls: Call[]): Promise<Call> {
    const { address, instance, path, key, body, deadline = 3_000 } = options;
    const [host, port] = address.split(":");
    const call: Call = {
        id: randomBytes(8).toString("hex"),
        instance,
        path,
        key,
        sentAt: Date.now(),
        endedAt: 0,
        status: 0,
        body: "",
        signed: false,
        broken: false,
        error: undefined,
    };
    calls.push(call);
    return new Promise(resolve => {
        const end = (error?: string) => {
            if (call.endedAt === 0) {
                call.endedAt = Date.now();
                call.error = error;
                clearTimeout(timer);
                resolve(call);
            }
        };
        const outgoing = startRequest({
            host,
            port,
            method: options.method ?? "GET",
            path,
            agent: options.agent ?? false,
            headers: {
                "Host": HOST,
                "Laburnumslip-Request-Id": call.id,
                "Laburnumslip-Deadline-Ms": String(deadline),
                ...key === undefined ? {} : { "X-Api-Key": key },
                ...options.headers,
            },
        });
        const timer = setTimeout(() => {
            end("the client gave up");
            outgoing.destroy();
        }, deadline);
        outgoing.on("error", error => end(error.message));
        outgoing.on("response", response => {
            call.status = response.statusCode ?? 0;
            call.signed = response.headers["laburnumslip-server-stamp"] !== undefined;
            response.setEncoding("utf8");
            response.on("error", () => {});
            response.on("data", (text: string) => call.body += text);
            response.on("close", () => {
                call.broken = !response.complete;
                end(call.broken ? "the answer broke off" : undefined);
            });
        });
        outgoing.end(body);
    });
}
