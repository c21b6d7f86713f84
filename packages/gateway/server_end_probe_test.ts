import { spawn } from "node:child_process";
import { once } from "node:events";
import { PassThrough } from "node:stream";
import { expect, test, vi } from "vitest";
import { BackendConnectionPool } from "../backends/mod.ts";
import { sleep } from "../clocks/mod.ts";
import type { RegisteredServer } from "../directory/mod.ts";
import { createLogger } from "../logs/mod.ts";
import { ServerEndProbe } from "./server_end_probe.ts";

const SERVER = `
const server = require("node:http").createServer((request, response) => {
    if (request.url === "/run") { response.writeHead(200); response.write("x"); return; }
    setTimeout(() => response.end("ok"), 50);
});
server.listen(0, "127.0.0.1", () => console.log(server.address().port));
`;

// Guards against an engine's end that is missed since the probe was sent on a kept connection, which broke as well.
test("the probe tells that an engine has ended though connections to it were idle", async () => {
    let confirmed = 0;
    const rounds = 10;
    for (let round = 0; round < rounds; round++) {
        const child = spawn(process.execPath, ["-e", SERVER]);
        const [port] = await once(child.stdout, "data") as [Buffer];
        const address = `127.0.0.1:${port.toString().trim()}`;
        const server = { id: "a", address } as RegisteredServer;
        const pool = new BackendConnectionPool();
        const send = (path: string) =>
            pool.send({ address, method: "GET", path, headers: ["Host", address], timeoutMilliseconds: 2_000 });
        // Leaves four idle connections.
        const answers = await Promise.all(["/1", "/2", "/3", "/4"].map(send));
        await Promise.all(answers.map(answer => answer._unsafeUnwrap().body.resume()).map(body => once(body, "end")));
        const run = (await send("/run"))._unsafeUnwrap();
        const probe = new ServerEndProbe({
            serverClient: {
                send: (to: RegisteredServer, request: object) =>
                    pool.send({ ...request as Parameters<typeof pool.send>[0], address: to.address }),
            } as never,
            crashRegistry: { recordServerEnd: () => confirmed++ } as never,
            serverLoads: { markTerminated: () => {} } as never,
            headers: { expectedServer: "expect" } as never,
            engineProtocol: { report: () => ({ method: "GET", path: "/report" }) } as never,
            logger: createLogger("test", new PassThrough().resume()),
        });
        run.body.on("close", () => probe.start(server));
        run.body.resume();
        child.kill("SIGKILL");
        await sleep(400);
        pool.close();
    }
    expect(confirmed).toBe(rounds);
}, 30_000);

// Guards against a server whose end is never noticed again since an error has ended a probe of it.
test("a probe that fails is logged and the server can be probed again", async () => {
    vi.useFakeTimers();
    const errors: string[] = [];
    let asked = 0;
    const probe = new ServerEndProbe({
        serverClient: {
            send: () => {
                asked++;
                return Promise.reject(new Error("The probe cannot be sent"));
            },
        } as never,
        crashRegistry: {} as never,
        serverLoads: {} as never,
        headers: { expectedServer: "expect" } as never,
        engineProtocol: { report: () => ({ method: "GET", path: "/report" }) } as never,
        logger: {
            info: () => {},
            warn: () => {},
            error: (message, fields) => errors.push(`${message} ${fields?.["server"]}`),
        },
    });
    for (let attempt = 0; attempt < 2; attempt++) {
        probe.start({ id: "a", address: "127.0.0.1:9" } as RegisteredServer);
        await vi.advanceTimersByTimeAsync(0);
    }
    vi.useRealTimers();
    expect(errors).toEqual(["probe failed a", "probe failed a"]);
    expect(asked).toBe(2);
});
