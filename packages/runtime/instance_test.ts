import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { createServer, type Server, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, expect, test } from "vitest";
import { monotonicMilliseconds, sleep } from "../clocks/mod.ts";
import { PortBlock } from "../harness/mod.ts";
import { listen } from "../instances/mod.ts";
import { settingsSchema } from "../settings/mod.ts";
import { Instance } from "./instance.ts";

/** Time in milliseconds after the drain limit by which docs/OPERATIONS.md promises the exit. */
const LATEST_EXIT_MILLISECONDS = 10_000;

let ports: PortBlock;
let folder: string;
let silent: Server;
let sockets: Socket[];

beforeEach(async () => {
    ports = await PortBlock.reserve();
    folder = await mkdtemp(join(tmpdir(), "laburnumslip-instance-"));
    sockets = [];
    silent = createServer(socket => {
        sockets.push(socket);
        socket.on("error", () => {});
    });
});

afterEach(async () => {
    silent.close();
    sockets.forEach(socket => socket.destroy());
    await rm(folder, { recursive: true });
    await ports.close();
});

// Guards against shutdowns that last as long as their calls to a store which never answers.
test("an instance whose store accepts connections and never answers ends by the time it promises", async () => {
    const address = () => `127.0.0.1:${ports.next()}`;
    const secretFile = join(folder, "secret");
    await writeFile(secretFile, "secret-of-the-instances");
    const storeAddress = address();
    await listen(silent as Parameters<typeof listen>[0], storeAddress);
    const instance = await Instance.create(settingsSchema.parse({
        name: "instance-1",
        failureDomain: "domain-1",
        callersAddress: address(),
        instancesAddress: address(),
        storeAddress,
        instanceListAddress: storeAddress,
        secretFile,
        drain: { graceMilliseconds: 0, limitMilliseconds: 0 },
    }));
    await instance.start();
    await sleep(500);
    const startedAt = monotonicMilliseconds();
    await instance.shutDown();
    expect(monotonicMilliseconds() - startedAt).toBeLessThanOrEqual(LATEST_EXIT_MILLISECONDS);
});
