import type { IncomingMessage } from "node:http";
import { MODEL_ENDPOINTS } from "./_model_endpoints.ts";
import { withoutQuery } from "./_without_query.ts";

/** A model request holds its body and the prompt that is read from it; other bodies are passed on as they are. */
export function bodyCopies(request: IncomingMessage): number {
    return Object.hasOwn(MODEL_ENDPOINTS, withoutQuery(request.url ?? "/")) ? 2 : 1;
}
