import { readResponseBody } from "../backends/mod.ts";
import type { RegisteredServer, ServiceProfile } from "../directory/mod.ts";
import type { ProbeResult } from "../reachability/mod.ts";
import type { EngineProtocol } from "./engine_protocol.ts";
import type { ProtocolHeaders } from "./protocol_headers.ts";
import type { ServerClient } from "./server_client.ts";

/** Time in milliseconds within which the connection must be established and the response begin. */
const TIMEOUT_MILLISECONDS = 500;
const MAXIMUM_RESPONSE_BYTES = 1_024 * 1_024;

/** What asks servers for a response. */
interface ProbeParts {
    serverClient: ServerClient;
    headers: ProtocolHeaders;
    engineProtocol: EngineProtocol;
}

/** Asks a server something that does no work, on a new connection, to find out whether the link to it stands. */
export async function probeServer(
    server: RegisteredServer,
    service: ServiceProfile,
    { serverClient, headers, engineProtocol }: ProbeParts,
): Promise<ProbeResult> {
    const { method, path } = service.engine ? engineProtocol.report() : { method: "GET", path: service.healthPath };
    const response = await serverClient.send(server, {
        method,
        path,
        headers: ["Host", server.address, headers.expectedServer, server.id],
        timeoutMilliseconds: TIMEOUT_MILLISECONDS,
        correlation: { header: headers.requestId, value: undefined },
        newConnection: true,
    });
    if (response.isOk()) {
        await readResponseBody(response.value, TIMEOUT_MILLISECONDS, MAXIMUM_RESPONSE_BYTES);
        return "answered";
    }
    const { kind, verdict } = response.error;
    if (kind === "timeout") {
        return verdict === "may-have-run" ? "silent" : "failed";
    }
    return kind === "unreachable" || kind === "reset" ? "failed" : "answered";
}
