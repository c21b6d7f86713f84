import fc from "fast-check";
import { once } from "node:events";
import { connect } from "node:net";
import { afterAll, afterEach, beforeAll, expect, test } from "vitest";
import * as z from "zod";
import { PortBlock } from "../harness/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { encodeFrame, FrameDecoder, InstanceClient, InstanceServer } from "./mod.ts";

const noopLogger = { info: () => {}, warn: () => {}, error: () => {} };
let ports: PortBlock;
const cleanups: (() => unknown)[] = [];

beforeAll(async () => {
    ports = await PortBlock.reserve();
});

afterAll(async () => {
    await ports.close();
});

afterEach(async () => {
    await Promise.all(cleanups.splice(0).map(close => close()));
});

async function startServer(metrics = new Metrics()): Promise<string> {
    const port = ports.next();
    const server = new InstanceServer({ name: "a", incarnation: "1" }, "secret", {
        metrics,
        logger: noopLogger,
        maximumFrameBytes: 10_000,
    });
    server.handle("echo", z.object({ text: z.string() }), async ({ text }) => ({ text }));
    server.handle("long", z.object({}), async () => "x".repeat(17 * 1_024 * 1_024));
    server.handle("operators.secret", z.object({}), async () => ({}), "operator");
    await server.listen(`127.0.0.1:${port}`);
    cleanups.push(() => server.close());
    return `127.0.0.1:${port}`;
}

function createClient(address: string, secret = "secret", incarnation?: string): InstanceClient {
    const options = { metrics: new Metrics(), ...(incarnation === undefined ? {} : { incarnation }) };
    const client = new InstanceClient(address, { name: "b", incarnation: "2" }, secret, options);
    cleanups.push(() => client.close());
    return client;
}

test("frames are decoded as they were encoded, however the stream is split into chunks", () => {
    fc.assert(
        fc.property(
            fc.array(fc.jsonValue(), { maxLength: 10 }),
            fc.array(fc.integer({ min: 1, max: 50 })),
            (messages, chunkLengths) => {
                const stream = Buffer.concat(messages.map(message => encodeFrame(message)));
                const decoder = new FrameDecoder(1_000_000);
                const decoded: unknown[] = [];
                let offset = 0;
                for (const chunkLength of [...chunkLengths, stream.length]) {
                    decoded.push(
                        ...decoder.push(stream.subarray(offset, offset + chunkLength)).map(({ message }) => message),
                    );
                    offset += chunkLength;
                }
                expect(decoded).toEqual(messages.map(message => JSON.parse(JSON.stringify(message))));
            },
        ),
        { seed: 6, numRuns: 500 },
    );
});

test("arbitrary bytes result in frames or in a frame error", () => {
    fc.assert(
        fc.property(fc.array(fc.uint8Array({ maxLength: 200 }), { maxLength: 10 }), chunks => {
            const decoder = new FrameDecoder(100);
            try {
                chunks.forEach(chunk => decoder.push(Buffer.from(chunk)));
            }
            catch (error) {
                expect(String(error)).toMatch(/Cannot (read|parse) a frame/);
            }
        }),
        { seed: 7, numRuns: 2_000 },
    );
});

test("a call returns its result and is counted by kind", async () => {
    const metrics = new Metrics();
    const client = createClient(await startServer(metrics));
    const result = await client.call("echo", { text: "hello" });
    expect(result._unsafeUnwrap()).toEqual({ text: "hello" });
    expect(metrics.count("control_messages_total", { kind: "echo", direction: "received" })).toBe(1);
    expect(metrics.count("control_bytes_total", { kind: "echo", direction: "sent" })).toBeGreaterThan(0);
});

test("a handshake with a different secret fails", async () => {
    const address = await startServer();
    const result = await createClient(address, "wrong").call("echo", { text: "x" });
    expect(result._unsafeUnwrapErr()).toMatchObject({ kind: "unreachable", verdict: "not-run" });
});

test("invalid parameters, unknown methods and methods for operators return an error", async () => {
    const client = createClient(await startServer());
    for (const [method, params] of [["echo", { text: 1 }], ["nothing", {}], ["operators.secret", {}]] as const) {
        expect((await client.call(method, params))._unsafeUnwrapErr().kind).toBe("error");
    }
});

test("a malformed frame closes only its own connection", async () => {
    const address = await startServer();
    const client = createClient(address);
    expect((await client.call("echo", { text: "1" })).isOk()).toBe(true);
    for (
        const bytes of [
            Buffer.from("GET / HTTP/1.1\r\n\r\n"),
            Buffer.from([0, 0, 0, 2, 0x7b, 0x7b]),
            Buffer.alloc(5_000, 255),
        ]
    ) {
        const socket = connect(Number(address.split(":")[1]), "127.0.0.1");
        socket.on("error", () => {});
        socket.resume();
        socket.write(bytes);
        await once(socket, "close");
    }
    expect((await client.call("echo", { text: "2" })).isOk()).toBe(true);
});

test("a closed port or another incarnation proves termination, a port without a handshake does not", async () => {
    const address = await startServer();
    const replaced = await createClient(address, "secret", "0").call("echo", { text: "x" });
    expect(replaced._unsafeUnwrapErr()).toMatchObject({ kind: "replaced", provesTermination: true });
    const port = ports.next();
    const refused = await createClient(`127.0.0.1:${port}`).call("echo", { text: "x" });
    expect(refused._unsafeUnwrapErr()).toMatchObject({ kind: "refused", provesTermination: true, verdict: "not-run" });
    const silentServer = await import("node:net").then(net => net.createServer(() => {}).listen(0, "127.0.0.1"));
    await once(silentServer, "listening");
    cleanups.push(() => silentServer.close());
    const { port: silentPort } = silentServer.address() as { port: number; };
    const noResponse = await createClient(`127.0.0.1:${silentPort}`).call("echo", { text: "x" });
    expect(noResponse._unsafeUnwrapErr()).toMatchObject({ kind: "unreachable", provesTermination: false });
});

test("a response too long for a frame fails its call at once and leaves the server running", async () => {
    const server = await startServer();
    const client = createClient(server);
    const started = performance.now();
    const result = await client.call("long", {}, 5_000);
    expect(result._unsafeUnwrapErr().kind).toBe("error");
    expect(performance.now() - started).toBeLessThan(5_000);
    expect((await client.call("echo", { text: "after" })).isOk()).toBe(true);
});

test("calls made while the connection is replaced do not lose the newer connection", async () => {
    const address = await startServer();
    const client = createClient(address);
    await client.call("echo", { text: "1" });
    // The response ends the connection; the calls after it open a new one before the former one has reported its end.
    const ended = client.call("long", {});
    const calls = Array.from({ length: 5 }, (_, index) => client.call("echo", { text: String(index) }));
    await Promise.all([ended, ...calls]);
    const later = await Promise.all(Array.from({ length: 5 }, () => client.call("echo", { text: "later" })));
    expect(later.filter(result => result.isOk()).length).toBe(5);
});

// Guards against calls that throw, and a client that stays unusable, since an item names an impossible address.
test.each(["127.0.0.1:99999", "127.0.0.1:-1"])("a call to %s fails as unreachable each time", async address => {
    const client = createClient(address);
    for (let attempt = 0; attempt < 2; attempt++) {
        const result = await client.call("echo", { text: "hello" });
        expect(result._unsafeUnwrapErr()).toMatchObject({ kind: "unreachable", verdict: "not-run" });
    }
    await client.notify("echo", { text: "hello" });
});
