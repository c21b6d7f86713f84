import { once } from "node:events";
import { readdir, readFile, writeFile } from "node:fs/promises";
import { connect, type Socket } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { sleep } from "../clocks/mod.ts";
import { Fleet, sendSmallChunks } from "../harness/mod.ts";

const MEMORY_MEGABYTES = 130;
const HEAP_MEGABYTES = 50;
const MAXIMUM_DESCRIPTORS = 1_500;
const MAXIMUM_BODY_BYTES = 262_144;
const BYTES_PER_MEGABYTE = 1_000_000;
const BYTES_PER_KILOBYTE = 1_024;
/** Connections of the crowd; fewer than callers may have open. */
const CLIENTS = 1_000;
/** Time that the caller gives its own call. */
const CALLER_DEADLINE_MILLISECONDS = 9_000;
const STARTED_MILLISECONDS = 5_000;
const POLL_MILLISECONDS = 100;
/** Sets the highest resident memory back to the present one (proc(5), `clear_refs`). */
const RESET_PEAK = "5";

let fleet: Fleet;
const sockets: Socket[] = [];

beforeEach(async () => {
    fleet = await Fleet.start({
        instances: 1,
        nodeArguments: [`--max-old-space-size=${HEAP_MEGABYTES}`, "--max-semi-space-size=4"],
        settings: {
            memoryMegabytes: MEMORY_MEGABYTES,
            maximumDescriptors: MAXIMUM_DESCRIPTORS,
            callers: { maximumBodyBytes: MAXIMUM_BODY_BYTES },
        },
    });
    // The start takes more for a moment, before there are clients.
    await sleep(STARTED_MILLISECONDS);
    await writeFile(`/proc/${fleet.instances[0]?.process.pid}/clear_refs`, RESET_PEAK);
});

afterEach(async () => {
    sockets.splice(0).forEach(socket => socket.destroy());
    await fleet.close();
});

async function expectWithinBounds(): Promise<void> {
    const [instance] = fleet.instances;
    expect(instance?.process.ended).toBe(false);
    const folder = `/proc/${instance?.process.pid}`;
    const highest = Number(/VmHWM:\s+(\d+)/.exec(await readFile(`${folder}/status`, "utf8"))?.[1]);
    expect(highest * BYTES_PER_KILOBYTE / BYTES_PER_MEGABYTE).toBeLessThan(MEMORY_MEGABYTES);
    expect((await readdir(`${folder}/fd`)).length).toBeLessThan(MAXIMUM_DESCRIPTORS);
}

// Guards against a process that clients hang by bodies of legal size, each byte of which is a chunk.
test.each([
    ["chunks of one byte", "1\r\na\r\n"],
    ["chunks of one byte with extensions", "1;a\r\nb\r\n"],
])("bodies in %s leave an ordinary call its answer and the process within its bounds", async (_name, chunk) => {
    const port = Number(fleet.instances[0]?.callersAddress.split(":")[1]);
    const opened = Array.from({ length: CLIENTS }, () => connect(port, "127.0.0.1").on("error", () => {}));
    sockets.push(...opened);
    await Promise.all(opened.map(socket => once(socket, "connect")));
    const head = `POST /v1/status HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer ${fleet.key("north")}\r\n`
        + "Transfer-Encoding: chunked\r\n\r\n";
    await Promise.all(opened.map((socket, index) => sendSmallChunks(socket.resume(), head, chunk, index)));
    let answer: { status: number; broken: boolean; } | undefined;
    const options = { key: fleet.key("north"), timeoutMilliseconds: CALLER_DEADLINE_MILLISECONDS };
    void fleet.call(0, "/v1/status", options).then(result => answer = result);
    while (answer === undefined) {
        await expectWithinBounds();
        await sleep(POLL_MILLISECONDS);
    }
    expect(answer.broken).toBe(false);
    expect(answer.status).toBeGreaterThan(0);
    await expectWithinBounds();
});
