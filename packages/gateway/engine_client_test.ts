import { err } from "neverthrow";
import { expect, test } from "vitest";
import { Directory, type RegisteredServer } from "../directory/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { EngineClient } from "./engine_client.ts";

// Guards against memory of another request that is freed since an engine has started again under its id, and its new process has
// given the same name to it.
test.each([
    { name: "the same start is registered", startedAt: 1, isSent: true },
    { name: "another start is registered", startedAt: 2, isSent: false },
    { name: "none is registered", startedAt: undefined, isSent: true },
])("what a start of an engine holds is released there if $name: $isSent", ({ startedAt, isSent }) => {
    const directory = new Directory();
    const engine = { id: "a", address: "127.0.0.1:1", startedAt: 1 } as RegisteredServer;
    if (startedAt !== undefined) {
        directory.apply({ kind: "server", server: { ...engine, startedAt } });
    }
    const paths: string[] = [];
    const send = async (_server: RegisteredServer, { path }: { path: string; }) => {
        paths.push(path);
        return err({ kind: "unreachable", message: "No connection" });
    };
    const headers = { expectedServer: "expect", requestId: "id" };
    const logger = { info: () => {}, warn: () => {}, error: () => {} };
    const context = { directory, serverClient: { send }, headers, logger, metrics: new Metrics() };
    new EngineClient(context as never).release(engine, { method: "DELETE", path: "/hold/1" });
    expect(paths).toEqual(isSent ? ["/hold/1"] : []);
});
