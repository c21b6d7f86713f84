import { afterAll, expect, test } from "vitest";
import { BackendConnectionPool } from "./backend_connection_pool.ts";

const RESPONSE_TIMEOUT_MILLISECONDS = 500;

const pool = new BackendConnectionPool();

afterAll(() => pool.close());

// Guards against requests that are lost since the send to their server throws instead of failing.
test.each([
    ["a port out of range", { address: "127.0.0.1:99999" }],
    ["a header with a line break", { headers: ["X-Id", "a\nb"] }],
    ["a path with a space", { path: "/a b" }],
    ["a method with a space", { method: "A B" }],
])("a send with %s fails as not run", async (_name, changes) => {
    const response = await pool.send({
        address: "127.0.0.1:9",
        method: "GET",
        path: "/",
        headers: [],
        timeoutMilliseconds: RESPONSE_TIMEOUT_MILLISECONDS,
        ...changes,
    });
    expect(response._unsafeUnwrapErr()).toMatchObject({ kind: "unreachable", verdict: "not-run", portClosed: false });
});
