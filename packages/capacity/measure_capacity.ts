import { type ConfigurationDocument, ConfigurationState, emptyDocument } from "../configuration/mod.ts";
import { Invariants } from "../invariants/mod.ts";
import { RefundableTokenBucket } from "../limits/mod.ts";
import { selectMembers } from "../membership/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { onceRecordKey, OnceShard } from "../once/mod.ts";
import { ServerLedger } from "../reservations/mod.ts";
import { MemoryStore } from "../stand_ins/mod.ts";
import { runProbe } from "./_probe.ts";
import type { ProbeResult } from "./_probe_result.ts";

const SCALES = [1, 10, 100];
const SHARES_PER_INSTANCE = 5;
const SERVERS_PER_INSTANCE = 11;
const CHARGES_PER_SHARE = 40;
const RESERVATIONS_PER_SERVER = 10;
const OPERATIONS = 20_000;
const silentLogger = { info: () => {}, warn: () => {}, error: () => {} };

/**
 * Measures each component of an instance alone, at 1, 10 and 100 times the size that it has in one instance of the
 * deployment in docs/CAPACITY.md.
 *
 * @returns A table in Markdown, with one line per component and size.
 * @example
 * ```ts
 * process.stdout.write(await measureCapacity());
 * ```
 */
export async function measureCapacity(): Promise<string> {
    const results: ProbeResult[] = [];
    for (const scale of SCALES) {
        results.push(await probeShares(SHARES_PER_INSTANCE * scale));
        results.push(await probeLedgers(SERVERS_PER_INSTANCE * scale));
        results.push(await probeOnceShard(10 * scale));
        results.push(await probeMembership(4 * scale + 10));
        results.push(await probeConfiguration(44 * scale));
    }
    const lines = results.map(result =>
        `| ${result.role} | ${result.size} ${result.unit} | ${result.bytesPerUnit} | ${result.operation} |`
        + ` ${result.microsecondsPerOperation} |`
    );
    const records = [9, 27, 81, 410].map(members => `| ${members} | ${membershipRecordBytes(members)} |`);
    return [
        "| role | size | heap bytes for each | operation | processor microseconds |",
        "|---|---|---|---|---|",
        ...lines.sort(),
        "",
        "| members | bytes of the epoch record with one epoch of history |",
        "|---|---|",
        ...records,
        "",
    ].join("\n");
}

async function probeShares(size: number): Promise<ProbeResult> {
    let now = 0;
    return await runProbe({
        role: "shares of organisations",
        unit: `shares with ${CHARGES_PER_SHARE} outstanding charges`,
        operation: "one charge and one return",
        size,
        operations: OPERATIONS,
        build: () =>
            Array.from({ length: size }, () => {
                const bucket = new RefundableTokenBucket(1_000_000, 10_000_000, 10_000_000, 0);
                for (let index = 0; index < CHARGES_PER_SHARE; index++) {
                    bucket.charge(`instance-1/0819ed4d/${index}.${index}`, 10, index);
                }
                return bucket;
            }),
        operate: (buckets, index) => {
            const bucket = buckets[index % buckets.length];
            now++;
            bucket?.charge(`instance-1/0819ed4d/new-${index}`, 10, now);
            const oldest = index < CHARGES_PER_SHARE * size
                ? `instance-1/0819ed4d/${Math.floor(index / size)}.${Math.floor(index / size)}`
                : `instance-1/0819ed4d/new-${index - CHARGES_PER_SHARE * size}`;
            bucket?.settle(oldest, 5, now);
        },
    });
}

async function probeLedgers(size: number): Promise<ProbeResult> {
    const createRequest = (server: number, id: string) => ({
        server: `decode-${server}`,
        id,
        organisation: "organisation-1",
        pieces: 1,
        priority: 5,
        suspect: false,
        fingerprint: "",
        waitMilliseconds: 0,
    });
    return await runProbe({
        role: "ledgers of servers",
        unit: `servers with ${RESERVATIONS_PER_SERVER} reservations`,
        operation: "one reservation and one release",
        size,
        operations: OPERATIONS,
        build: () =>
            Array.from({ length: size }, (_, server) => {
                const ledger = new ServerLedger(20, { allowed: 20, bootId: "0" });
                ledger.open();
                for (let index = 0; index < RESERVATIONS_PER_SERVER; index++) {
                    void ledger.reserve(createRequest(server, `instance-1/0819ed4d/${server}.${index}`), 1);
                }
                return ledger;
            }),
        operate: async (ledgers, index) => {
            const server = index % ledgers.length;
            const id = `instance-1/0819ed4d/new-${index}`;
            await ledgers[server]?.reserve(createRequest(server, id), 1);
            ledgers[server]?.release(id, "done");
        },
    });
}

async function probeOnceShard(size: number): Promise<ProbeResult> {
    const store = new MemoryStore(() => "answered");
    const answer = { status: 200, headers: { "content-type": "application/json" }, body: "x".repeat(200) };
    const begin = (shard: OnceShard, index: number) => {
        const key = onceRecordKey("organisation-1", "orders", `order-${index}`);
        return shard.begin({ key, attempt: `instance-1/0819ed4d/${index}`, fingerprint: "f".repeat(64), owner: "a/1" });
    };
    const finish = (shard: OnceShard, index: number) => {
        const key = onceRecordKey("organisation-1", "orders", `order-${index}`);
        return shard.finish({ key, attempt: `instance-1/0819ed4d/${index}`, state: "finished", answer });
    };
    const shard = new OnceShard(store, "once/0");
    for (let index = 0; index < size; index++) {
        await begin(shard, index);
        await finish(shard, index);
    }
    return await runProbe({
        role: "once-only shard",
        unit: "finished records",
        operation: "one intent and one outcome, alone in their commits",
        size,
        operations: 100,
        build: () => shard,
        operate: async (_, index) => {
            const number = size + index;
            await begin(shard, number);
            await finish(shard, number);
        },
    });
}

async function probeMembership(size: number): Promise<ProbeResult> {
    return await runProbe({
        role: "membership",
        unit: "members",
        operation: "the home of one key after an epoch change",
        size,
        operations: 2_000,
        build: () => Array.from({ length: size }, (_, index) => `instance-${index}/0819ed4d`),
        operate: (members, index) => selectMembers(members, `server/decode-${index}`, 1),
    });
}

async function probeConfiguration(size: number): Promise<ProbeResult> {
    const state = new ConfigurationState(new Invariants(new Metrics(), silentLogger, false));
    return await runProbe({
        role: "configuration",
        unit: "servers",
        operation: "one change of one entry",
        size,
        operations: 500,
        build: () => {
            state.applySnapshot({ version: 1, document: createDocument(size), recent: [] });
            return state;
        },
        operate: (configuration, index) =>
            configuration.applyChanges([{
                version: configuration.version + 1,
                attempt: "a",
                operations: [{ collection: "drainedServers", name: `decode-${index % size}`, value: { since: "" } }],
            }]),
    });
}

function createDocument(servers: number): ConfigurationDocument {
    const document = emptyDocument();
    for (let index = 0; index < servers; index++) {
        document.backendServers[`decode-${index}`] = {
            address: `10.0.${index % 250}.${index % 200}:9000`,
            role: "decode",
            failureDomain: `domain-${index % 4}`,
            models: ["drafting"],
            labels: { pool: "models" },
            capacity: 20,
            fencing: "ignored",
        };
    }
    return document;
}

function membershipRecordBytes(count: number): number {
    const members = Array.from({ length: count }, (_, index) => ({
        name: `instance-${index}`,
        incarnation: "0819ed4d",
        address: `10.0.${index % 250}.${index % 200}:8081`,
        failureDomain: `domain-${index % 4}`,
    }));
    const history = [{ epoch: 1, members: members.map(({ name, incarnation }) => `${name}/${incarnation}`) }];
    return JSON.stringify({ epoch: 2, members, history }).length;
}
