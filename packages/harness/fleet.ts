import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { sleep } from "../clocks/mod.ts";
import {
    type Declaration,
    diffDocuments,
    type DocumentOperation,
    emptyDocument,
    hashKey,
} from "../configuration/mod.ts";
import { OperatorClient } from "../operators/mod.ts";
import type { StandInConfiguration } from "../stand_ins/mod.ts";
import { buildDeclaration } from "./build_declaration.ts";
import type { CallOptions } from "./call_options.ts";
import type { CallResult } from "./call_result.ts";
import type { EngineDescription } from "./engine_description.ts";
import type { FleetOptions } from "./fleet_options.ts";
import { ManagedProcess } from "./managed_process.ts";
import { PartitionProxy } from "./partition_proxy.ts";
import { PortBlock } from "./port_block.ts";
import { sendRequest } from "./send_request.ts";

const SECRET = "fleet-secret";
const READY_ATTEMPTS = 400;
const READY_PAUSE_MILLISECONDS = 50;
const ROUTER_PROGRAM = "dist/laburnumslip.cjs";
const STAND_IN_PROGRAM = "dist/development.cjs";

const DEFAULT_ENGINES: EngineDescription[] = [
    { name: "prefill-1", role: "prefill", failureDomain: "domain-1", capacity: 2 },
    { name: "prefill-2", role: "prefill", failureDomain: "domain-2", capacity: 2 },
    { name: "decode-1", role: "decode", failureDomain: "domain-1", capacity: 20 },
    { name: "decode-2", role: "decode", failureDomain: "domain-2", capacity: 20 },
];

const DEFAULT_ORGANISATIONS: Declaration["organisations"] = {
    north: { tokensPerSecond: 50_000, burstTokens: 200_000, weight: 1, labels: {} },
    south: { tokensPerSecond: 50_000, burstTokens: 200_000, weight: 1, labels: {} },
};

/** An instance of the fleet. */
interface FleetInstance {
    name: string;
    callersAddress: string;
    instancesAddress: string;
    settingsFile: string;
    process: ManagedProcess;
    listed: boolean;
    partitionProxy: PartitionProxy | undefined;
}

/**
 * A fleet of instances and stand-ins, each a process of its own on this machine.
 *
 * @example
 * ```ts
 * const fleet = await Fleet.start({ instances: 3 });
 * const result = await fleet.call(0, "/v1/models", { key: fleet.key("north") });
 * await fleet.close();
 * ```
 */
export class Fleet {
    readonly instances: FleetInstance[] = [];
    readonly engines: (EngineDescription & { address: string; })[] = [];
    readonly services: { name: string; address: string; failureDomain: string; }[] = [];
    readonly #standIns: ManagedProcess[] = [];
    readonly #failureDomains: string[];
    #directory = "";
    #storeAddress = "";
    #listAddress = "";

    private constructor(
        private readonly options: FleetOptions,
        private readonly ports: PortBlock,
    ) {
        this.#failureDomains = options.failureDomains ?? ["domain-1", "domain-2", "domain-3"];
    }

    /**
     * Starts a fleet, applies its declaration and creates an API key for each organisation.
     *
     * @param options Sizes and other options; all have defaults.
     * @returns The fleet, once every instance is ready.
     */
    static async start(options: FleetOptions = {}): Promise<Fleet> {
        const fleet = new Fleet(options, await PortBlock.reserve());
        try {
            await fleet.#startAll();
            return fleet;
        }
        catch (error) {
            await fleet.close();
            throw error;
        }
    }

    /** Address of the store. */
    get storeAddress(): string {
        return this.#storeAddress;
    }

    /** Address of the instance list. */
    get listAddress(): string {
        return this.#listAddress;
    }

    /** The organisations. */
    get organisations(): Declaration["organisations"] {
        return this.options.organisations ?? DEFAULT_ORGANISATIONS;
    }

    /**
     * Returns the API key of an organisation.
     *
     * @param organisation Name of the organisation.
     * @returns The API key that was created at the start.
     */
    key(organisation: string): string {
        return `key-of-${organisation}-0123456789abcdef`;
    }

    /**
     * Calls an instance.
     *
     * @param index Index of the instance.
     * @param path Path with query.
     * @param options API key, body, timeout and other options of the request.
     * @returns What the caller saw.
     */
    async call(index: number, path: string, options: CallOptions = {}): Promise<CallResult> {
        return await sendRequest(this.#instance(index).callersAddress, path, options);
    }

    /**
     * Sets faults of a stand-in and reads what it recorded.
     *
     * @param address Address of the stand-in.
     * @param faults Faults to set; without them, the stand-in is only read.
     * @returns What the stand-in recorded.
     */
    async controlStandIn<State>(address: string, faults?: object): Promise<State> {
        const response = await fetch(`http://${address}/control`, {
            method: faults ? "POST" : "GET",
            ...(faults ? { body: JSON.stringify(faults) } : {}),
        });
        return await response.json() as State;
    }

    /**
     * Changes the configuration as an operator would.
     *
     * @param operations The change.
     * @param index Index of the instance that is called.
     * @returns The configuration version that contains the change.
     * @throws {Error} If the change was not stored.
     */
    async change(operations: DocumentOperation[], index = 0): Promise<number> {
        const client = this.operator(index);
        const outcome = await client.change(operations);
        client.close();
        if (outcome.isErr() || outcome.value.kind !== "stored") {
            throw new Error(`Cannot change the configuration: ${JSON.stringify(outcome)}`);
        }
        return outcome.value.version;
    }

    /**
     * Creates a client for operators.
     *
     * @param index Index of the instance that is called.
     * @returns The client; close it after use.
     */
    operator(index = 0): OperatorClient {
        return new OperatorClient(this.#instance(index).instancesAddress, SECRET);
    }

    /**
     * Sums the series of an instance's metrics whose names and labels begin with a pattern.
     *
     * @param index Index of the instance.
     * @param pattern Beginning of the series, without the prefix `laburnumslip_`.
     * @returns The sum; 0 if no series matches.
     */
    async sumMetric(index: number, pattern: string): Promise<number> {
        const { text } = await this.call(index, "/metrics");
        return text
            .split("\n")
            .filter(line => line.startsWith(`laburnumslip_${pattern}`))
            .reduce((sum, line) => sum + Number(line.slice(line.lastIndexOf(" ") + 1)), 0);
    }

    /**
     * Starts a new process in place of an instance that ended.
     *
     * @param index Index of the instance.
     * @returns A promise that resolves once it is ready.
     */
    async restart(index: number): Promise<void> {
        const instance = this.#instance(index);
        instance.process = this.#spawn(instance.name, instance.settingsFile);
        instance.listed = true;
        await this.updateInstanceList();
        await this.waitUntilReady(index);
    }

    /**
     * Simulates a network partition between groups of instances.
     *
     * @param groups Indexes of the instances in each group, which still reach each other; an empty list ends the
     * partition.
     */
    partition(groups: number[][]): void {
        for (const [index, { partitionProxy }] of this.instances.entries()) {
            const ownGroup = groups.find(group => group.includes(index));
            const unreachable = this.instances.filter((_, other) =>
                ownGroup !== undefined && !ownGroup.includes(other)
            );
            partitionProxy?.cut(new Set(unreachable.map(({ name }) => name)));
        }
    }

    /**
     * Waits until an instance is ready.
     *
     * @param index Index of the instance.
     * @throws {Error} If its process ends or it is not ready in time.
     */
    async waitUntilReady(index: number): Promise<void> {
        const instance = this.#instance(index);
        for (let attempt = 0; attempt < READY_ATTEMPTS; attempt++) {
            const { status } = await this.call(index, "/readyz", { timeoutMilliseconds: 1_000 });
            if (status === 200) {
                return;
            }
            if (instance.process.ended) {
                break;
            }
            await sleep(READY_PAUSE_MILLISECONDS);
        }
        const log = await readFile(join(this.#directory, `${instance.name}.log`), "utf8");
        throw new Error(`Instance ${instance.name} is not ready:\n${log.slice(-2_000)}`);
    }

    /**
     * Waits until every instance is a member and every home is active.
     *
     * @throws {Error} If the fleet does not converge in time.
     */
    async waitUntilConverged(): Promise<void> {
        for (let attempt = 0; attempt < READY_ATTEMPTS; attempt++) {
            const running = this.instances.filter(({ process }) => !process.ended);
            const converged = await Promise.all(running.map(async instance => {
                const index = this.instances.indexOf(instance);
                const members = await this.sumMetric(index, "members ");
                return members === running.length && await this.sumMetric(index, "homes_pending ") === 0;
            }));
            if (converged.every(Boolean) && await this.#countActiveHomes(running) === this.#expectedHomeCount()) {
                return;
            }
            await sleep(READY_PAUSE_MILLISECONDS);
        }
        throw new Error("The fleet did not converge in time");
    }

    /**
     * Publishes the listed instances in the platform's instance list.
     *
     * @returns A promise that resolves once the instance list has stored them.
     */
    async updateInstanceList(): Promise<void> {
        const instances = this.instances
            .filter(({ listed }) => listed)
            .map(({ name, instancesAddress }) => ({ name, address: instancesAddress, state: "live" }));
        await this.controlStandIn(this.#listAddress, { instances });
    }

    /**
     * Ends every process and removes the files.
     *
     * @returns A promise that resolves once all processes have ended and the files are removed.
     */
    async close(): Promise<void> {
        const processes = [...this.instances.map(({ process }) => process), ...this.#standIns];
        await Promise.all(processes.map(async process => {
            process.resume();
            await process.kill();
        }));
        await Promise.all(this.instances.map(({ partitionProxy }) => partitionProxy?.close()));
        await this.ports.close();
        if (this.#directory !== "") {
            await rm(this.#directory, { recursive: true, force: true });
        }
    }

    /**
     * Reads the log of an instance.
     *
     * @param index Index of the instance.
     * @returns The log.
     */
    async log(index: number): Promise<string> {
        return await readFile(join(this.#directory, `${this.#instance(index).name}.log`), "utf8");
    }

    #instance(index: number): FleetInstance {
        const instance = this.instances[index];
        if (!instance) {
            throw new Error(`The fleet has no instance ${index}`);
        }
        return instance;
    }

    async #startAll(): Promise<void> {
        this.#directory = await mkdtemp(join(tmpdir(), "laburnumslip-"));
        await writeFile(join(this.#directory, "secret"), SECRET);
        await this.#startStandIns();
        await this.#startInstances();
        await this.#configure();
        await this.waitUntilConverged();
    }

    async #startStandIns(): Promise<void> {
        const descriptions = this.options.engines ?? DEFAULT_ENGINES;
        const serviceCount = this.options.services ?? 1;
        const nextAddress = () => `127.0.0.1:${this.ports.next()}`;
        this.#storeAddress = nextAddress();
        this.#listAddress = nextAddress();
        for (const description of descriptions) {
            this.engines.push({ ...description, address: nextAddress() });
        }
        for (let index = 0; index < serviceCount; index++) {
            const failureDomain = this.#failureDomains[index % this.#failureDomains.length] ?? "domain-1";
            this.services.push({ name: `service-${index + 1}`, address: nextAddress(), failureDomain });
        }
        const groups: StandInConfiguration[] = [
            [{ kind: "store", address: this.#storeAddress }],
            [{ kind: "instance-list", address: this.#listAddress }],
            ...this.services.map(({ address }): StandInConfiguration => [{ kind: "service", address }]),
            ...this.#engineGroups(),
        ];
        for (const [index, group] of groups.entries()) {
            const file = join(this.#directory, `stand-ins-${index}.json`);
            await writeFile(file, JSON.stringify(group));
            const log = join(this.#directory, `stand-ins-${index}.log`);
            this.#standIns.push(new ManagedProcess([STAND_IN_PROGRAM, "stand-ins", file], log));
        }
        await Promise.all(groups.flat().map(({ address }) => this.#waitUntilResponding(address)));
    }

    #engineGroups(): StandInConfiguration[] {
        const size = this.options.enginesPerProcess ?? 1;
        const groups: StandInConfiguration[] = [];
        for (let start = 0; start < this.engines.length; start += size) {
            const group = this.engines.slice(start, start + size);
            groups.push(group.map(({ address, engine, role, capacity }) => {
                const pieces = role === "decode" ? { pieces: capacity } : {};
                return { kind: "engine", address, engine: { ...pieces, ...engine } };
            }));
        }
        return groups;
    }

    async #waitUntilResponding(address: string): Promise<void> {
        for (let attempt = 0; attempt < READY_ATTEMPTS; attempt++) {
            const responds = await this.controlStandIn(address).then(() => true, () => false);
            if (responds) {
                return;
            }
            await sleep(READY_PAUSE_MILLISECONDS);
        }
        throw new Error(`The stand-in at ${address} does not respond`);
    }

    async #startInstances(): Promise<void> {
        const count = this.options.instances ?? 3;
        for (let index = 0; index < count; index++) {
            const name = `instance-${index + 1}`;
            const settingsFile = join(this.#directory, `${name}.jsonc`);
            const callersAddress = `127.0.0.1:${this.ports.next()}`;
            const instancesAddress = `127.0.0.1:${this.ports.next()}`;
            const listenAddress = this.options.partitionProxies ? `127.0.0.1:${this.ports.next()}` : undefined;
            const partitionProxy = listenAddress ? new PartitionProxy(instancesAddress, listenAddress) : undefined;
            await partitionProxy?.listen();
            const failureDomain = this.#failureDomains[index % this.#failureDomains.length];
            await writeFile(
                settingsFile,
                JSON.stringify({
                    name,
                    failureDomain,
                    callersAddress,
                    instancesAddress,
                    ...(listenAddress ? { instancesListenAddress: listenAddress } : {}),
                    storeAddress: this.#storeAddress,
                    instanceListAddress: this.#listAddress,
                    secretFile: join(this.#directory, "secret"),
                    drain: { graceMilliseconds: this.options.graceMilliseconds ?? 200 },
                    policy: this.options.policy ?? "today",
                    stopOnViolation: true,
                    ...this.options.settings,
                }),
            );
            const process = this.#spawn(name, settingsFile);
            this.instances.push({
                name,
                callersAddress,
                instancesAddress,
                settingsFile,
                process,
                listed: true,
                partitionProxy,
            });
        }
        await this.updateInstanceList();
        await Promise.all(this.instances.map((_, index) => this.waitUntilReady(index)));
    }

    #spawn(name: string, settingsFile: string): ManagedProcess {
        const log = join(this.#directory, `${name}.log`);
        return new ManagedProcess([...this.options.nodeArguments ?? [], ROUTER_PROGRAM, "serve", settingsFile], log);
    }

    async #configure(): Promise<void> {
        const declaration = {
            ...buildDeclaration(this.#failureDomains, this.engines, this.services, this.organisations),
            ...this.options.declaration,
        };
        const operations = diffDocuments(emptyDocument(), declaration);
        for (const organisation of Object.keys(this.organisations)) {
            const value = { organisation, label: "granted at the start" };
            operations.push({ collection: "keys", name: hashKey(this.key(organisation)), value });
        }
        const version = await this.change(operations);
        const client = this.operator();
        const { missing } = await client.waitUntilInForce(version, 10_000);
        client.close();
        if (missing.length > 0) {
            throw new Error(`The configuration is not in force at ${missing.join(", ")}`);
        }
    }

    #expectedHomeCount(): number {
        const sharesPerOrganisation = 3;
        return Object.keys(this.organisations).length * sharesPerOrganisation + this.engines.length;
    }

    async #countActiveHomes(running: FleetInstance[]): Promise<number> {
        const counts = await Promise.all(
            running.map(instance => this.sumMetric(this.instances.indexOf(instance), "homes_active ")),
        );
        return counts.reduce((sum, count) => sum + count, 0);
    }
}
