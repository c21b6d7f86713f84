import type { ServerResponse } from "node:http";
import type { Logger } from "../logs/mod.ts";
import { describeError } from "../processes/mod.ts";
import { requestFailed } from "./_request_failed.ts";
import { writeRefusal } from "./_write_refusal.ts";

/** Ends the response of a request after an error that was not caught, and throws the error for the process's rule. */
export function failResponse(response: ServerResponse, error: unknown, logger: Logger): never {
    logger.error("request failed", { request: response.getHeader("x-request-id"), error: describeError(error) });
    if (!response.writableEnded) {
        writeRefusal(response, requestFailed());
    }
    throw error;
}
