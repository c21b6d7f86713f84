import { execFile } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterAll, beforeAll, expect, test } from "vitest";
import { hashKey } from "../configuration/mod.ts";
import { buildDeclaration, Fleet, ManagedProcess, PortBlock } from "../harness/mod.ts";
import { createKey } from "./_create_key.ts";

let directory: string;
let fleet: Fleet;
let connection: string[];

beforeAll(async () => {
    directory = await mkdtemp(join(tmpdir(), "laburnumslip-test-"));
    await writeFile(join(directory, "secret"), "fleet-secret");
    fleet = await Fleet.start({
        instances: 2,
        engines: [{ name: "decode-1", role: "decode", failureDomain: "domain-1", capacity: 4 }],
    });
    const instances = fleet.instances.map(({ instancesAddress }) => instancesAddress).join(",");
    connection = ["--instance", instances, "--secret-file", join(directory, "secret")];
});

afterAll(async () => {
    await fleet.close();
    await rm(directory, { recursive: true });
});

function run(...commandArguments: string[]): Promise<{ code: number; output: string; }> {
    return new Promise(resolve => {
        execFile(process.execPath, ["dist/laburnumslip.cjs", ...commandArguments], (error, stdout, stderr) => {
            // A command that did not start or was ended by a signal has no exit code.
            const code = error ? Number(error.code ?? Number.NaN) : 0;
            resolve({ code, output: stdout + stderr });
        });
    });
}

async function writeDocument(name: string, content: unknown): Promise<string> {
    const file = join(directory, name);
    await writeFile(file, typeof content === "string" ? content : JSON.stringify(content, undefined, 4));
    return file;
}

function declaration(): ReturnType<typeof buildDeclaration> {
    return buildDeclaration(["domain-1", "domain-2", "domain-3"], fleet.engines, fleet.services, fleet.organisations);
}

test("check prints file, line, column and field of each error", async () => {
    const server = { address: "127.0.0.1:1", role: "decode", failureDomain: "north", capacity: 1 };
    const file = await writeDocument("bad.jsonc", {
        failureDomains: { north: {} },
        organisations: { a: { tokensPerSecond: 10, burstTokens: 5 } },
        backendServers: { one: server, two: { ...server, failureDomain: "south" } },
        selectors: { lost: { organisations: { size: "large" } } },
    });
    const { code, output } = await run("check", file);
    expect(code).toBe(1);
    expect(output).toMatch(/bad\.jsonc:\d+:\d+: backendServers\.two\.address: address is already used by one/);
    expect(output).toMatch(/backendServers\.two\.failureDomain: failure domain is not declared/);
    expect(output).toMatch(/organisations\.a\.burstTokens: expected at least 20/);
    const unknown = await run("check", await writeDocument("unknown.jsonc", '{\n  "name": "a",\n  "prot": 1\n}'));
    expect(unknown.output).toMatch(/unknown\.jsonc:3:\d+: prot: unknown field/);
});

test("check warns of a selector that matches nothing", async () => {
    const file = await writeDocument("warning.jsonc", {
        ...declaration(),
        selectors: { lost: { organisations: { size: "x" } } },
    });
    const { code, output } = await run("check", file);
    expect(code).toBe(0);
    expect(output).toMatch(/warning: .*selectors\.lost: selector matches no organisation/);
});

test("check compares a declaration with another and with the configuration in force", async () => {
    const current = await writeDocument("current.jsonc", declaration());
    const changed = declaration();
    changed.organisations["east"] = { tokensPerSecond: 10, burstTokens: 100, weight: 1, labels: {} };
    const file = await writeDocument("new.jsonc", changed);
    const compared = await run("check", file, "--against", current);
    expect(compared).toMatchObject({ code: 0, output: expect.stringMatching(/^added: organisations\.east$/m) });
    const { code, output } = await run("check", file, "--against", "in-force", "--json", ...connection);
    expect(code).toBe(0);
    expect(JSON.parse(output)).toMatchObject({
        kind: "declaration",
        errors: [],
        warnings: expect.arrayContaining([expect.stringContaining("organisations.east: has no API key")]),
        differences: [{ path: "organisations.east", kind: "added", effects: [] }],
    });
    expect(await run("check", file, "--against", "in-force")).toMatchObject({ code: 1 });
    expect(await run("check", file, "--against", await writeDocument("broken.jsonc", "{"))).toMatchObject({ code: 1 });
});

test("apply prints the differences, is idempotent and waits until the version is in force", async () => {
    const changed = declaration();
    changed.organisations["east"] = { tokensPerSecond: 10, burstTokens: 100, weight: 1, labels: {} };
    const file = await writeDocument("fleet.jsonc", changed);
    const dryRun = await run("apply", file, "--dry-run", ...connection);
    expect(dryRun).toMatchObject({ code: 0, output: expect.stringContaining("~ organisations.east") });
    const first = await run("apply", file, ...connection);
    expect(first).toMatchObject({ code: 0, output: expect.stringContaining("in force at 2 of 2 instances") });
    const second = await run("apply", file, ...connection);
    expect(second.output).toMatch(/already says this/);
    // A granted key is not part of the declaration, so applying one leaves it in place.
    expect((await fleet.call(0, "/v1/models", { key: fleet.key("north") })).status).toBe(200);
});

test("of two concurrent changes one is stored; the other fails and returns the stored change", async () => {
    const client = fleet.operator(0);
    const current = (await client.configuration())._unsafeUnwrap();
    const operation = (name: string) => [{ collection: "drainedServers" as const, name, value: { since: "" } }];
    const outcomes = await Promise.all([
        client.change(operation("first"), current.version),
        client.change(operation("second"), current.version),
    ]);
    client.close();
    const kinds = outcomes.map(outcome => outcome._unsafeUnwrap().kind).sort();
    expect(kinds).toEqual(["raced", "stored"]);
    const raced = outcomes.map(outcome => outcome._unsafeUnwrap()).find(({ kind }) => kind === "raced");
    expect(raced).toMatchObject({ changes: [{ operations: [{ collection: "drainedServers" }] }] });
});

test("drain names an instance where the version is not in force", async () => {
    fleet.instances[1]?.process.suspend();
    const { code, output } = await run("drain", "decode-1", ...connection);
    fleet.instances[1]?.process.resume();
    expect(code).toBe(2);
    expect(output).toMatch(/in force at 1 of 2 instances\nnot in force at: instance-2/);
    expect(await run("restore", "decode-1", ...connection)).toMatchObject({ code: 0 });
});

test("keys are granted and withdrawn, and orders reach the engine", async () => {
    const granted = await run("keys", "grant", "north", ...connection);
    const key = /^key (\S+)$/m.exec(granted.output)?.[1] ?? "";
    expect((await fleet.call(1, "/v1/models", { key })).status).toBe(200);
    const withdrawn = await run("keys", "withdraw", key, ...connection);
    expect(withdrawn).toMatchObject({ code: 0, output: expect.stringContaining("in force at 2 of 2 instances") });
    expect((await fleet.call(1, "/v1/models", { key })).status).toBe(401);
    expect(await run("keys", "grant", "nobody", ...connection)).toMatchObject({ code: 1 });
    expect(await run("order", "decode-1", "load-model", "drafting-2", ...connection)).toMatchObject({ code: 0 });
    expect(await run("order", "decode-9", "load-model", "drafting-2", ...connection)).toMatchObject({ code: 1 });
    const status = JSON.parse((await run("status", ...connection)).output) as { fleet: unknown[]; };
    expect(status.fleet).toHaveLength(2);
});

// Guards against a key that stays valid although its withdrawal reported success, since the key was read as options.
test.each(["-h", "-av", "---h", "-a", "--a", "--no-a"])(
    "a key that begins with %s is withdrawn or refused",
    async start => {
        const key = `${start}${"b2_c".repeat(7)}`;
        const status = async () => (await fleet.call(1, "/v1/models", { key })).status;
        expect(await run("keys", "grant", "north", "--hash", hashKey(key), ...connection)).toMatchObject({ code: 0 });
        expect(await status()).toBe(200);
        expect(await run("keys", "withdraw", key, ...connection)).toMatchObject({ code: 1 });
        expect(await status()).toBe(200);
        expect(await run("keys", "withdraw", ...connection, "--", key)).toMatchObject({ code: 0 });
        expect(await status()).toBe(401);
    },
);

// Guards against the same for a second key and for an option of another command.
test.each(["keys withdraw first second", "drain decode-1 --dry-run"])(
    "arguments that a command does not use are refused: %s",
    async command => {
        const version = async () =>
            (JSON.parse((await run("status", ...connection)).output) as { version: number; }).version;
        const before = await version();
        expect(await run(...command.split(" "), ...connection)).toMatchObject({ code: 1 });
        expect(await version()).toBe(before);
    },
);

// Guards against new keys that can only be withdrawn with care.
test("no generated key begins like an option", () => {
    const bytes = [Buffer.alloc(24, 0xfb), Buffer.alloc(24, 0xf8), Buffer.alloc(24)];
    expect(createKey(() => bytes.shift()!)).toBe("A".repeat(32));
});

test("serve exits with an error if a port is in use or the secret file is missing", async () => {
    const settings = {
        name: "late",
        failureDomain: "domain-1",
        callersAddress: fleet.instances[0]?.callersAddress,
        instancesAddress: "127.0.0.1:9",
        storeAddress: fleet.storeAddress,
        instanceListAddress: fleet.listAddress,
        secretFile: join(directory, "secret"),
    };
    const ports = await PortBlock.reserve();
    const free = `127.0.0.1:${ports.next()}`;
    const portInUse = await run("serve", await writeDocument("taken.jsonc", { ...settings, instancesAddress: free }));
    expect(portInUse).toMatchObject({ code: 4, output: expect.stringMatching(/Cannot start: .*EADDRINUSE/) });
    const missingSecret = await run(
        "serve",
        await writeDocument("no-secret.jsonc", { ...settings, secretFile: "/nowhere/secret" }),
    );
    expect(missingSecret).toMatchObject({ code: 4, output: expect.stringMatching(/Cannot start: .*secret/) });
    await ports.close();
});

test("an instance that starts without the store waits and reports why it is not ready", async () => {
    const ports = await PortBlock.reserve();
    const [callersAddress, instancesAddress, unusedAddress] = [1, 2, 3].map(() => `127.0.0.1:${ports.next()}`);
    const file = await writeDocument("alone.jsonc", {
        name: "alone",
        failureDomain: "domain-1",
        callersAddress,
        instancesAddress,
        storeAddress: unusedAddress,
        instanceListAddress: unusedAddress,
        secretFile: join(directory, "secret"),
    });
    const child = new ManagedProcess(["dist/laburnumslip.cjs", "serve", file], join(directory, "alone.log"));
    let readiness = { status: 0, text: "" };
    for (let attempt = 0; attempt < 100 && readiness.status === 0; attempt++) {
        await new Promise(resolve => setTimeout(resolve, 100));
        readiness = await fetch(`http://${callersAddress}/readyz`)
            .then(async response => ({ status: response.status, text: await response.text() }), () => readiness);
    }
    const refused = await fetch(`http://${callersAddress}/v1/models`);
    await child.kill();
    await ports.close();
    expect(readiness).toEqual({ status: 503, text: "no configuration yet\n" });
    expect(await refused.json()).toMatchObject({ error: { code: "not-ready", verdict: "not-run" } });
});
