import { once } from "node:events";
import { readdir, readFile, writeFile } from "node:fs/promises";
import { connect, type Socket } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { sleep } from "../clocks/mod.ts";
import { Fleet, unfinishedBodies } from "../harness/mod.ts";

const MEMORY_MEGABYTES = 130;
const HEAP_MEGABYTES = 50;
const MAXIMUM_DESCRIPTORS = 1_500;
const MAXIMUM_BODY_BYTES = 1_048_576;
const BYTES_PER_MEGABYTE = 1_000_000;
const BYTES_PER_KILOBYTE = 1_024;
/** Connections of a crowd; fewer than callers may have open. */
const CLIENTS = 400;
const STARTED_MILLISECONDS = 5_000;
const HELD_MILLISECONDS = 4_000;
const POLL_MILLISECONDS = 100;
/** Sets the highest resident memory back to the present one (proc(5), `clear_refs`). */
const RESET_PEAK = "5";
const SERVED_ATTEMPTS = 100;
const ANSWER_BYTES = 4_000_000;
/** Bytes that a slow reader takes at a time. */
const READ_BYTES = 1_024;

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

async function openConnections(): Promise<Socket[]> {
    const port = Number(fleet.instances[0]?.callersAddress.split(":")[1]);
    const opened = Array.from({ length: CLIENTS }, () => connect(port, "127.0.0.1").on("error", () => {}).pause());
    sockets.push(...opened);
    await Promise.all(opened.map(socket => once(socket, "connect")));
    return opened;
}

async function expectWithinBounds(): Promise<void> {
    const [instance] = fleet.instances;
    expect(instance?.process.ended).toBe(false);
    const folder = `/proc/${instance?.process.pid}`;
    const highest = Number(/VmHWM:\s+(\d+)/.exec(await readFile(`${folder}/status`, "utf8"))?.[1]);
    expect(highest * BYTES_PER_KILOBYTE / BYTES_PER_MEGABYTE).toBeLessThan(MEMORY_MEGABYTES);
    expect((await readdir(`${folder}/fd`)).length).toBeLessThan(MAXIMUM_DESCRIPTORS);
}

/** Watches the process for a time, and expects that it stays within its bounds and serves an ordinary call afterwards. */
async function expectHeld(): Promise<void> {
    for (const end = Date.now() + HELD_MILLISECONDS; Date.now() < end;) {
        await expectWithinBounds();
        await sleep(POLL_MILLISECONDS);
    }
    const isServed = async () => (await fleet.call(0, "/v1/status", { key: fleet.key("north") })).status === 200;
    for (let attempt = 0; !await isServed(); attempt++) {
        expect(attempt).toBeLessThan(SERVED_ATTEMPTS);
        await sleep(POLL_MILLISECONDS);
    }
    await expectWithinBounds();
}

function head(method: string, framing = ""): string {
    const key = `Authorization: Bearer ${fleet.key("north")}`;
    return `${method} /v1/status HTTP/1.1\r\nHost: router\r\n${key}\r\n${framing}\r\n`;
}

// Guards against processes that clients end by bodies of legal size which they do not finish.
test.each(Object.entries(unfinishedBodies))(
    "bodies %s that stay open leave the process within its memory",
    async (_name, sendBody) => {
        const opened = await openConnections();
        await Promise.all(opened.map(async socket => {
            await sendBody(socket.resume(), framing => head("POST", `${framing}\r\n`), MAXIMUM_BODY_BYTES);
        }));
        await expectHeld();
    },
);

// Guards against processes that clients end by taking long answers a little at a time.
test("long answers that are read slowly leave the process within its memory", async () => {
    await Promise.all(
        fleet.services.map(({ address }) => fleet.controlStandIn(address, { paddingBytes: ANSWER_BYTES })),
    );
    const readers = (await openConnections()).map(socket => {
        socket.write(head("GET"));
        return setInterval(() => void socket.read(READ_BYTES), POLL_MILLISECONDS);
    });
    await sleep(HELD_MILLISECONDS);
    await Promise.all(fleet.services.map(({ address }) => fleet.controlStandIn(address, { paddingBytes: 0 })));
    await expectHeld();
    readers.forEach(reader => clearInterval(reader));
});
