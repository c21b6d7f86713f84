import type { Server } from "node:http";
import type { Socket } from "node:net";
import { closeAfterReading } from "../connections/mod.ts";
import type { InputRefusal } from "./input_refusal.ts";

/** Codes of the errors that the server gets; the first is that of the HTTP parser. */
const ERROR_CODES: Record<InputRefusal, string> = {
    "head-too-large": "HPE_HEADER_OVERFLOW",
    "memory-full": "ERR_MEMORY_FULL",
};
const RESPONSES: Record<InputRefusal, string> = {
    "head-too-large": "431 Request Header Fields Too Large",
    "memory-full": "503 Service Unavailable\r\nRetry-After: 1",
};

/** Reports input that is refused to a server as `clientError`, or answers it where the server does not listen to that. */
export function refuseInput(server: Server, socket: Socket, refusal: InputRefusal): void {
    const error = Object.assign(new Error(`Input refused: ${refusal}`), { code: ERROR_CODES[refusal] });
    if (!server.emit("clientError", error, socket)) {
        socket.end(`HTTP/1.1 ${RESPONSES[refusal]}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
        closeAfterReading(socket);
    }
}
