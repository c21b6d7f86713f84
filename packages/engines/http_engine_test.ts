import fc from "fast-check";
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { afterAll, beforeAll, expect, test } from "vitest";
import { type DecodeEvent, EngineFailure, HttpEngine } from "./mod.ts";

let respond: (response: ServerResponse) => void = response => response.end();
const server = createServer((request, response) => {
    request.resume();
    request.on("end", () => respond(response));
});
let engine: HttpEngine;
const decodeRequest = {
    request: "a/1/1.1",
    model: "m",
    source: "s",
    handle: "h",
    offset: 0,
    maximumTokens: 5,
    priority: 5,
};

beforeAll(async () => {
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    engine = new HttpEngine(`127.0.0.1:${(server.address() as AddressInfo).port}`);
});

afterAll(async () => {
    await engine.close();
    server.closeAllConnections();
    server.close();
});

async function decode(): Promise<{ events: DecodeEvent[]; failure: unknown; }> {
    const events: DecodeEvent[] = [];
    const stream = await engine.decode(decodeRequest, AbortSignal.timeout(10_000));
    if (stream.isErr()) {
        return { events, failure: stream.error };
    }
    try {
        for await (const event of stream.value) {
            events.push(event);
        }
        return { events, failure: undefined };
    }
    catch (failure) {
        return { events, failure };
    }
}

test("events are decoded as they were sent, however the stream is split into chunks", async () => {
    const sent = Array.from({ length: 20 }, (_, offset) => ({ request: "a/1/1.1", offset, text: `wörd-${offset} ` }));
    const bytes = Buffer.from(sent.map(event => `data: ${JSON.stringify(event)}\n\n`).join(""));
    await fc.assert(
        fc.asyncProperty(fc.array(fc.integer({ min: 1, max: 200 }), { maxLength: 8 }), async chunkLengths => {
            respond = response => {
                let offset = 0;
                for (const chunkLength of chunkLengths) {
                    response.write(bytes.subarray(offset, offset + chunkLength));
                    offset += chunkLength;
                }
                response.end(bytes.subarray(offset));
            };
            expect(await decode()).toEqual({ events: sent, failure: undefined });
        }),
        { seed: 12, numRuns: 60 },
    );
});

test("arbitrary bytes in a stream result in events or in a failure of kind refused, not down", async () => {
    const fragments = fc.constantFrom(
        "data: ",
        "{",
        "}",
        '"request":"x"',
        ",",
        '"offset":',
        "-1",
        "1",
        "\n\n",
        "\r",
        "id: 1",
        "\0",
    );
    let failures = 0;
    await fc.assert(
        fc.asyncProperty(
            fc.oneof(fc.array(fragments).map(parts => `data: ${parts.join("")}\n\n`), fc.string()),
            async text => {
                respond = response => response.end(text);
                const { failure } = await decode();
                if (failure !== undefined) {
                    failures++;
                    expect(failure).toBeInstanceOf(EngineFailure);
                    expect(failure).toMatchObject({ kind: "refused", verdict: "may-have-run" });
                }
            },
        ),
        { seed: 13, numRuns: 300 },
    );
    expect(failures).toBeGreaterThan(50);
});

test("a stream with an event that never ends fails", async () => {
    respond = response => {
        const timer = setInterval(() => response.write("data: " + "x".repeat(20_000)), 1);
        response.on("close", () => clearInterval(timer));
    };
    const { failure } = await decode();
    expect(failure).toMatchObject({ kind: "refused" });
});

test("status codes determine whether the request may have run", async () => {
    const expected = [[503, "refused", "not-run"], [410, "handle-gone", "not-run"], [500, "refused", "may-have-run"]];
    for (const [status, kind, verdict] of expected) {
        respond = response => response.writeHead(Number(status)).end("no");
        expect((await decode()).failure).toMatchObject({ kind, verdict });
    }
    respond = response => response.destroy();
    expect((await decode()).failure).toMatchObject({ kind: "down", verdict: "may-have-run" });
    const unreachableEngine = new HttpEngine("127.0.0.1:1");
    const refused = await unreachableEngine.report();
    await unreachableEngine.close();
    expect(refused._unsafeUnwrapErr()).toMatchObject({ kind: "down", verdict: "not-run" });
});
