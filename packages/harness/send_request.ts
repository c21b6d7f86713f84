import { Agent, request } from "undici";
import type { CallOptions } from "./call_options.ts";
import type { CallResult } from "./call_result.ts";

const DEFAULT_TIMEOUT_MILLISECONDS = 30_000;
const agent = new Agent({ pipelining: 1, headersTimeout: 120_000, bodyTimeout: 120_000 });

/**
 * Sends one request as a caller would, and records the response.
 *
 * @param address Address to call, such as the one that an instance has for callers.
 * @param path Path with query.
 * @param options API key, body, timeout and other options of the request.
 * @returns What the caller saw; a broken connection is recorded too, not thrown.
 * @example
 * ```ts
 * const result = await sendRequest("127.0.0.1:8080", "/v1/models", { key: "secret" });
 * ```
 */
export async function sendRequest(address: string, path: string, options: CallOptions = {}): Promise<CallResult> {
    const startedAt = performance.now();
    const deadline = AbortSignal.timeout(options.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS);
    const result: CallResult = {
        status: 0,
        requestId: "",
        text: "",
        json: undefined,
        reason: undefined,
        verdict: undefined,
        retryAfter: undefined,
        chunkTimes: [],
        broken: false,
    };
    try {
        const response = await request(`http://${address}${path}`, {
            dispatcher: agent,
            method: (options.method ?? (options.body === undefined ? "GET" : "POST")) as "GET",
            headers: { ...headersOf(options), ...options.headers },
            body: bodyOf(options.body),
            signal: options.signal ? AbortSignal.any([deadline, options.signal]) : deadline,
        });
        result.status = response.statusCode;
        result.requestId = String(response.headers["x-request-id"] ?? "");
        const retryAfter = response.headers["retry-after"];
        result.retryAfter = retryAfter === undefined ? undefined : String(retryAfter);
        for await (const chunk of response.body) {
            result.text += String(chunk);
            result.chunkTimes.push(performance.now() - startedAt);
        }
    }
    catch {
        result.broken = true;
        result.verdict = "may-have-run";
    }
    parseRefusal(result);
    return result;
}

function headersOf({ key, body }: CallOptions): Record<string, string> {
    return {
        ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
        ...(body === undefined ? {} : { "content-type": "application/json" }),
    };
}

function bodyOf(body: unknown): string | undefined {
    return body === undefined || typeof body === "string" ? body : JSON.stringify(body);
}

/** Reads a refusal from a whole response or from the last event of a stream. */
function parseRefusal(result: CallResult): void {
    const lines = result.text.split("\n").filter(line => line.startsWith("data: {"));
    const last = lines.at(-1)?.slice("data: ".length) ?? result.text;
    try {
        result.json = JSON.parse(last);
    }
    catch {
        return;
    }
    const { error } = result.json as { error?: { code?: string; verdict?: string; }; };
    result.reason = error?.code;
    result.verdict = error?.verdict ?? result.verdict;
}
