import type { ServerResponse } from "node:http";
import type { ConfigurationDocument } from "../configuration/mod.ts";

/** Answers with the models that are configured. */
export function listModels(response: ServerResponse, document: ConfigurationDocument): void {
    const data = Object.keys(document.models).map(id => ({ id, object: "model", owned_by: "laburnumslip" }));
    const body = JSON.stringify({ object: "list", data });
    response.writeHead(200, { "content-type": "application/json" });
    response.end(body);
}
