import { ok } from "neverthrow";
import { PassThrough } from "node:stream";
import { expect, test } from "vitest";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import { PlainSend } from "./plain_send.ts";

/** Longer than the test takes, so that the response times without it are negative. */
const END_WAIT_MILLISECONDS = 60_000;

// Guards against servers that count as slow, and versions that are rolled back, for a wait of the router's own.
test("the wait for a reset after the end of an answer is not part of the server's response time", async () => {
    const times: (number | undefined)[] = [];
    const load = {
        active: 0,
        recordSend: () => {},
        recordSuccess: () => {},
        recordResponseTime: (milliseconds: number) => times.push(milliseconds),
    };
    const response = {
        status: 200,
        headers: { stamp: "s" },
        body: Object.assign(new PassThrough().end("answer"), { complete: true }),
        endWaitMilliseconds: END_WAIT_MILLISECONDS,
        wasReset: () => false,
        trailing: () => Buffer.alloc(0),
    };
    const context = {
        headers: { signature: "stamp", notRun: "not-run", coldMilliseconds: "cold" },
        rollouts: {
            count: () => {},
            recordAnswer: (_server: unknown, _route: string, _status: number, time?: number) => times.push(time),
        },
        serverClient: { send: () => Promise.resolve(ok(response)) },
        serverLoads: { get: () => load },
    } as unknown as GatewayContext;
    const request = {
        route: { name: "r1" },
        memory: { tryHold: () => true },
        body: Buffer.alloc(0),
        headers: [],
        deadline: monotonicMilliseconds() + END_WAIT_MILLISECONDS,
    } as unknown as GatewayRequest;
    const outcome = await new PlainSend(context).run(request, { id: "i-1" } as RegisteredServer);
    expect(outcome.kind).toBe("answered");
    expect(times).toEqual([expect.any(Number), expect.any(Number)]);
    times.forEach(time => expect(time).toBeLessThan(0));
});
