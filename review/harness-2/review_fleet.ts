import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { appendFileSync, existsSync, readFileSync } from "node:fs";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { type Agent, type IncomingHttpHeaders, request as startRequest } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { sleep } from "../../packages/clocks/mod.ts";
import { PortBlock } from "../../packages/harness/mod.ts";
import { PlatformStoreStandIn } from "../../platform/stand_ins/platform_store_stand_in.ts";

/** The command of `deploy/system.toml`. */
const COMMAND = ["node", "--max-old-space-size=90", "--max-semi-space-size=4", "target/laburnumslip.cjs"] as const;
const START_MILLISECONDS = 15_000;
const POLL_MILLISECONDS = 25;
/** Limits of a machine of the small deployments. */
const MEMORY_MEGABYTES = 200;
const DESCRIPTORS = 4_100;
const BYTES_PER_MEGABYTE = 1_048_576;

/** A backend server as it stands in the store. */
export interface ReviewServer {
    id: string;
    address: string;
    service: string;
    stage?: "prefill" | "decode";
    slots: number;
}

/** What a caller got. */
export interface CallResult {
    id: string;
    /** 0 if the connection ended without an answer. */
    status: number;
    headers: IncomingHttpHeaders;
    body: string;
    /** Whether the answer was whole. */
    whole: boolean;
    /** Time in milliseconds from the request to the end of the answer. */
    milliseconds: number;
}

/** A request of a caller. */
export interface Call {
    method?: string;
    path: string;
    body?: string | Buffer;
    headers?: Record<string, string>;
    /** Time in milliseconds that the caller waits. */
    deadline: number;
    agent?: Agent;
}

/** Bounds of `sites/liepkalns-slip.toml`, in the names of the settings template. */
const BOUNDS = {
    graceSeconds: 8,
    drainMilliseconds: 2_000,
    revokeMilliseconds: 5_000,
    failClosed: true,
    retryRatio: 0.2,
    retryWindowSeconds: 10,
    retrySlack: 52,
    quotaWindowSeconds: 8,
    quotaExcess: 0.1,
    quotaSlack: 140_000,
    leaseMilliseconds: 3_000,
    fenceChecked: true,
};

/**
 * Instances of the router as processes of their own, before the project's stand-in for the platform's store, all on
 * loopback addresses. Ends only the processes that it has started.
 *
 * @example
 * ```ts
 * const fleet = await ReviewFleet.create("review/6/record.txt");
 * await fleet.start(1, [server]);
 * const result = await fleet.call(0, { path: "/status/1", deadline: 3_000 });
 * await fleet.close();
 * ```
 */
export class ReviewFleet {
    readonly #children: ChildProcess[] = [];
    readonly #settings: Record<string, unknown>[] = [];
    readonly #ends = new Map<number, string>();
    #calls = 0;
    readonly #startedAt = performance.now();

    private constructor(
        private readonly recordFile: string,
        private readonly folder: string,
        private readonly ports: PortBlock,
        readonly store: PlatformStoreStandIn,
    ) {}

    /**
     * Starts the store.
     *
     * @param recordFile File that `record` writes to.
     * @returns The fleet, without instances so far.
     * @throws {Error} If no ports are free.
     */
    static async create(recordFile: string): Promise<ReviewFleet> {
        const folder = await mkdtemp(join(tmpdir(), "laburnumslip-review-"));
        const ports = await PortBlock.reserve();
        const store = new PlatformStoreStandIn(`127.0.0.1:${ports.next()}`);
        await store.listen();
        await writeFile(recordFile, "");
        return new ReviewFleet(recordFile, folder, ports, store);
    }

    /** A free address on the loopback interface. */
    address(): string {
        return `127.0.0.1:${this.ports.next()}`;
    }

    /**
     * Writes a line to the record, with the seconds since the beginning.
     *
     * @param line The line.
     */
    record(line: string): void {
        const seconds = ((performance.now() - this.#startedAt) / 1_000).toFixed(3).padStart(8);
        appendFileSync(this.recordFile, `${seconds} ${line}\n`);
    }

    /**
     * Registers servers, writes a configuration like that of the small Liepkalns deployment, starts instances and waits
     * until they are ready.
     *
     * @param instances Number of instances.
     * @param servers The servers.
     * @throws {Error} If an instance is not ready within 15 seconds.
     */
    async start(instances: number, servers: readonly ReviewServer[]): Promise<void> {
        for (const server of servers) {
            this.store.put(`servers/${server.id}`, createEntry(server));
        }
        this.store.put("op/config", createConfiguration());
        const addresses = Array.from({ length: instances }, () => this.address());
        for (const [index, instancesAddress] of addresses.entries()) {
            const settings = {
                name: `front-riga-a-${index + 1}`,
                failureDomain: "riga-a",
                callersAddress: this.address(),
                readinessAddress: this.address(),
                instancesAddress,
                metricsAddress: this.address(),
                seedAddresses: addresses.slice(0, 3),
                firstStart: true,
                storeAddress: this.store.address,
                memoryMegabytes: MEMORY_MEGABYTES,
                maximumDescriptors: DESCRIPTORS,
                bounds: BOUNDS,
            };
            this.#settings.push(settings);
            await this.#spawn(index);
        }
        await this.#untilReady();
    }

    /**
     * Kills an instance and starts it again, as the platform does with a process that exceeds its memory.
     *
     * @param index Index of the instance.
     */
    async replace(index: number): Promise<void> {
        const child = this.#children[index];
        if (child && !this.#ends.has(index)) {
            child.kill("SIGKILL");
            await once(child, "exit");
        }
        this.#settings[index] = { ...this.#settings[index], firstStart: false };
        await this.#spawn(index);
    }

    /** Address for callers of an instance. */
    callersAddress(index: number): { host: string; port: number; } {
        const [host = "", port = ""] = String(this.#settings[index]?.["callersAddress"]).split(":");
        return { host, port: Number(port) };
    }

    /**
     * Asks whether an instance is ready, as the platform does.
     *
     * @param index Index of the instance.
     * @param milliseconds Time to wait for the answer.
     * @returns The status; 0 without an answer in time.
     */
    async readiness(index: number, milliseconds: number): Promise<number> {
        const url = `http://${String(this.#settings[index]?.["readinessAddress"])}/ready`;
        return await fetch(url, { signal: AbortSignal.timeout(milliseconds) }).then(
            async response => {
                await response.arrayBuffer();
                return response.status;
            },
            () => 0,
        );
    }

    /** Resident memory of an instance in megabytes; 0 if it has ended. */
    residentMegabytes(index: number): number {
        const pid = this.#children[index]?.pid;
        const file = `/proc/${pid}/status`;
        const kilobytes = existsSync(file) ? /VmRSS:\s+(\d+)/.exec(readFileSync(file, "utf8"))?.[1] : undefined;
        return Number(kilobytes ?? 0) * 1_024 / BYTES_PER_MEGABYTE;
    }

    /** How an instance has ended; undefined while it runs. */
    endOf(index: number): string | undefined {
        return this.#ends.get(index);
    }

    /**
     * Sends a request as a caller and waits for its whole answer, until its deadline and half a second more.
     *
     * @param index Index of the instance.
     * @param call The request.
     * @returns What the caller got.
     */
    async call(index: number, call: Call): Promise<CallResult> {
        const id = `request-${++this.#calls}`;
        const { host, port } = this.callersAddress(index);
        const startedAt = performance.now();
        const milliseconds = () => Math.round(performance.now() - startedAt);
        return await new Promise(resolve => {
            const fail = () =>
                resolve({ id, status: 0, headers: {}, body: "", whole: false, milliseconds: milliseconds() });
            const outgoing = startRequest({
                host,
                port,
                method: call.method ?? "GET",
                path: call.path,
                agent: call.agent ?? false,
                signal: AbortSignal.timeout(call.deadline + 500),
                headers: {
                    "Host": "app.example",
                    "Laburnumslip-Request-Id": id,
                    "Laburnumslip-Deadline-Ms": String(call.deadline),
                    "X-Api-Key": "key-a",
                    ...call.headers,
                },
            });
            outgoing.on("error", fail);
            outgoing.on("response", response => {
                const pieces: Buffer[] = [];
                response.on("error", () => {});
                response.on("data", (piece: Buffer) => pieces.push(piece));
                response.on("close", () =>
                    resolve({
                        id,
                        status: response.statusCode ?? 0,
                        headers: response.headers,
                        body: Buffer.concat(pieces).toString("utf8"),
                        whole: response.complete,
                        milliseconds: milliseconds(),
                    }));
            });
            outgoing.end(call.body);
        });
    }

    /** Kills the instances at once. */
    killAll(): void {
        this.#children.forEach(child => child.kill("SIGKILL"));
    }

    /** Ends the instances and the store, and removes the temporary files. */
    async close(): Promise<void> {
        for (const [index, child] of this.#children.entries()) {
            if (!this.#ends.has(index)) {
                child.kill("SIGKILL");
                await once(child, "exit");
            }
        }
        await this.store.close();
        await this.ports.close();
        await rm(this.folder, { recursive: true });
    }

    async #spawn(index: number): Promise<void> {
        const file = join(this.folder, `settings-${index}.jsonc`);
        await writeFile(file, JSON.stringify(this.#settings[index]));
        const [command, ...options] = COMMAND;
        const child = spawn(command, options, {
            env: { PATH: process.env["PATH"], HOME: process.env["HOME"], LABURNUMSLIP_CONFIG: file },
            stdio: ["ignore", "pipe", "inherit"],
        });
        child.stdout.on("data", (chunk: Buffer) => appendFileSync(join(this.folder, `log-${index}.txt`), chunk));
        this.#ends.delete(index);
        child.on("exit", (code, signal) => this.#ends.set(index, signal ?? `code ${code}`));
        this.#children[index] = child;
    }

    async #untilReady(): Promise<void> {
        const latest = performance.now() + START_MILLISECONDS;
        for (const index of this.#settings.keys()) {
            while (await this.readiness(index, POLL_MILLISECONDS * 10) !== 200) {
                if (performance.now() > latest || this.#ends.has(index)) {
                    throw new Error(`Instance ${index} is not ready`);
                }
                await sleep(POLL_MILLISECONDS);
            }
        }
    }
}

function createEntry({ address, service, stage, slots }: ReviewServer): Record<string, unknown> {
    return {
        Service: service,
        Address: address,
        Zone: "riga-a",
        Version: "v1",
        Slots: slots,
        State: "ready",
        ColdLeftMs: 0,
        Sequence: 1,
        born: Date.now(),
        ...stage === undefined ? {} : { Phase: stage },
    };
}

/** Routes, engines, limits and a tenant as on the sheet of the small Liepkalns deployment. */
function createConfiguration(): Record<string, unknown> {
    const plain = { Host: "app.example", Service: "orderdesk", Priority: 2, TimeoutMs: 1_500, TargetLatencyMs: 386 };
    const stream = {
        Host: "app.example",
        Kind: "streaming",
        Service: "drafter",
        Priority: 1,
        TimeoutMs: 14_000,
        TargetLatencyMs: 900,
        TargetGapMs: 300,
        Sticky: true,
    };
    return {
        Version: 1,
        Routes: [
            { ...plain, Name: "order-status", PathPrefix: "/status/", Kind: "idempotent", MaxAttempts: 2 },
            { ...plain, Name: "reorder", PathPrefix: "/order/", Kind: "non_idempotent", MaxAttempts: 1 },
            { ...stream, Name: "die-spec", PathPrefix: "/draft/", MaxAttempts: 2, Resumable: true },
            { ...stream, Name: "bend-plan", PathPrefix: "/plan/", MaxAttempts: 1 },
        ],
        Services: [
            { Name: "orderdesk", HealthPath: "/health", MaxConns: 96 },
            {
                Name: "drafter",
                HealthPath: "/health",
                MaxConns: 610,
                ColdPerS: 16,
                ColdStartS: 3,
                Engine: { Slots: 128, KvCapacity: 33_505, HandleTtlS: 0.5, RoleSwitchS: 6, HoldMs: 2_000 },
            },
        ],
        Limits: {
            MaxHeaderBytes: 16_384,
            MaxBodyBytes: 4_194_304,
            HeaderTimeoutMs: 3_000,
            IdleTimeoutMs: 15_000,
        },
        Tenants: [
            {
                Name: "tenant-a",
                ApiKeys: ["key-a"],
                Unit: "token_stream",
                PlainTokens: 200,
                RatePerS: 64_800,
                Burst: 64_800,
            },
        ],
    };
}
