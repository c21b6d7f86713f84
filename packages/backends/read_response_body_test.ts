import { PassThrough } from "node:stream";
import { expect, test } from "vitest";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { BackendResponse } from "./backend_response.ts";
import { readResponseBody } from "./read_response_body.ts";

const TIMEOUT_MILLISECONDS = 5_000;
const MAXIMUM_BYTES = 1_000_000;

/** A response that has been received as a whole, and memory that has room for its first part. */
function receive(timeoutMilliseconds = TIMEOUT_MILLISECONDS) {
    const body = Object.assign(new PassThrough(), { complete: true });
    const response = {
        status: 200,
        headers: {},
        rawHeaders: [],
        body,
        wasReset: () => false,
        correlation: undefined,
        trailing: () => Buffer.alloc(0),
        close: () => body.destroy(),
    } as unknown as BackendResponse;
    let giveRoom: (hasRoom: boolean) => void = () => {};
    const waits: number[] = [];
    const memory = {
        tryHold: (bytes: number) => bytes < 5,
        hold: (bytes: number) => {
            waits.push(bytes);
            return new Promise<boolean>(resolve => giveRoom = resolve);
        },
    };
    const received = readResponseBody(response, timeoutMilliseconds, MAXIMUM_BYTES, memory);
    body.write("one ");
    body.write("second ");
    setImmediate(() => body.end("end"));
    return { body, received, waits, giveRoom: (hasRoom: boolean) => giveRoom(hasRoom) };
}

// Guards against the beginning of another response that is not found, since it lies in two pieces of a body.
test.each([1, 5, 6, 7, 8])("a second answer of which %i bytes stand in the piece before is found", async pieceBytes => {
    const body = Object.assign(new PassThrough(), { complete: true });
    const correlation = { header: "x-id", value: "id-1" };
    const pieces = [Buffer.alloc(5_000 - pieceBytes, "a"), Buffer.from("HTTP/1.1 200 OK\r\nx-id: id-1\r\n\r\n")];
    const text = Buffer.concat(pieces);
    const trailing = () => Buffer.alloc(0);
    const response = { headers: {}, body, wasReset: () => false, correlation, trailing, close: () => body.destroy() };
    const received = readResponseBody(response as unknown as BackendResponse, TIMEOUT_MILLISECONDS, MAXIMUM_BYTES);
    body.write(text.subarray(0, 5_000));
    setImmediate(() => body.end(text.subarray(5_000)));
    expect(await received).toBeUndefined();
});

async function untilWaiting(waits: number[]): Promise<void> {
    await expect.poll(() => waits).toEqual(["second ".length]);
    await new Promise(resolve => setImmediate(resolve));
}

// Guards against answers that are dropped although there is memory for them later.
test("a body that waits for memory is read to its end once there is room", async () => {
    const { received, waits, giveRoom } = receive();
    await untilWaiting(waits);
    giveRoom(true);
    expect((await received)?.toString("utf8")).toBe("one second end");
});

// Guards against the beginning of an answer that is passed on as the whole.
test("a body that is closed while it waits for memory counts as incomplete", async () => {
    const { body, received, waits } = receive();
    await untilWaiting(waits);
    body.destroy();
    expect(await received).toBeUndefined();
});

test("a body whose memory is no longer wanted counts as incomplete, and its connection is closed", async () => {
    const { body, received, waits, giveRoom } = receive();
    await untilWaiting(waits);
    giveRoom(false);
    expect(await received).toBeUndefined();
    expect(body.destroyed).toBe(true);
});

// Guards against answers that are cut although they have arrived while the process stood still, since timers come first in a
// turn of the event loop.
test("a body that has arrived during a standstill longer than its time-out is read", async () => {
    const { received, waits, giveRoom } = receive(20);
    await untilWaiting(waits);
    const until = monotonicMilliseconds() + 100;
    while (monotonicMilliseconds() < until) {
        // Nothing is polled meanwhile.
    }
    // Stands for the poll, which follows the timers.
    setImmediate(() => giveRoom(true));
    expect((await received)?.toString("utf8")).toBe("one second end");
});

// Guards against bodies that are awaited without an end.
test("a body that does not arrive in time counts as incomplete, and its connection is closed", async () => {
    const { body, received } = receive(20);
    expect(await received).toBeUndefined();
    expect(body.destroyed).toBe(true);
});
