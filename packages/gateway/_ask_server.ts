import { type BackendFault, readResponseBody } from "../backends/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import type { EngineCall } from "./engine_call.ts";
import type { ProtocolHeaders } from "./protocol_headers.ts";
import type { ServerClient } from "./server_client.ts";

const MAXIMUM_RESPONSE_BYTES = 1_024 * 1_024;
/** Status of a response by another server than the expected one. */
const ANOTHER_SERVER_STATUS = 421;

/**
 * What a question to a server shows. `"running"`: the server has responded after the question was sent; `"ended"`: its port is
 * closed, or another server responds there. Other faults leave it open.
 */
type ServerState = "running" | "ended" | BackendFault["kind"];

/** Asks a server something that does no work, to find out whether it still runs. */
export async function askServer(
    server: RegisteredServer,
    { method, path }: EngineCall,
    { serverClient, headers }: { serverClient: ServerClient; headers: ProtocolHeaders; },
    timeoutMilliseconds: number,
): Promise<ServerState> {
    const response = await serverClient.send(server, {
        method,
        path,
        headers: ["Host", server.address, headers.expectedServer, server.id],
        timeoutMilliseconds,
        correlation: { header: headers.requestId, value: undefined },
    });
    if (response.isErr()) {
        return response.error.portClosed ? "ended" : response.error.kind;
    }
    await readResponseBody(response.value, timeoutMilliseconds, MAXIMUM_RESPONSE_BYTES);
    return response.value.status === ANOTHER_SERVER_STATUS ? "ended" : "running";
}
