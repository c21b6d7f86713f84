import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { request as startRequest } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { ManagedProcess, PortBlock } from "../../packages/harness/mod.ts";
import { createServerEntry } from "../../platform/stand_ins/create_server_entry.ts";
import { PlatformEngineStandIn } from "../../platform/stand_ins/platform_engine_stand_in.ts";
import { PlatformServerStandIn } from "../../platform/stand_ins/platform_server_stand_in.ts";
import { PlatformStoreStandIn } from "../../platform/stand_ins/platform_store_stand_in.ts";

/** Arguments of the command in the deploy file. */
const PROGRAM = ["--max-old-space-size=90", "--max-semi-space-size=4", "target/laburnumslip.cjs"];
const READY_ATTEMPTS = 400;
const READY_RETRY_MILLISECONDS = 25;
/** Bounds of the site files, in the form of the settings. */
export const bounds = {
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

/** One instance of the router, a process of its own. */
export interface Instance {
    name: string;
    failureDomain: string;
    callersAddress: string;
    readinessAddress: string;
    settingsFile: string;
    logFile: string;
    process: ManagedProcess;
}

/**
 * A small deployment: instances of the built program as separate processes, and stand-ins for the platform's store and
 * servers in this process. All addresses are loopback addresses.
 */
export class ReviewFleet {
    readonly instances: Instance[] = [];
    readonly servers = new Map<string, { standIn: PlatformServerStandIn; service: string; failureDomain: string; }>();

    readonly #exited = new Set<string>();

    private constructor(
        private readonly ports: PortBlock,
        private readonly folder: string,
        readonly store: PlatformStoreStandIn,
    ) {}

    /**
     * Opens the store's stand-in.
     *
     * @returns The deployment, without servers, configuration and instances.
     * @throws {Error} If no ports are free.
     */
    static async open(): Promise<ReviewFleet> {
        const ports = await PortBlock.reserve();
        const folder = await mkdtemp(join(tmpdir(), "laburnumslip-review-"));
        const fleet = new ReviewFleet(ports, folder, new PlatformStoreStandIn(`127.0.0.1:${ports.next()}`));
        await fleet.store.listen();
        return fleet;
    }

    /** Takes a free loopback address. */
    address(): string {
        return `127.0.0.1:${this.ports.next()}`;
    }

    /** Starts a plain server and registers it. */
    async addServer(id: string, service: string, failureDomain: string): Promise<PlatformServerStandIn> {
        return await this.#add(new PlatformServerStandIn(this.address(), id), service, failureDomain);
    }

    /** Starts a model server with a memory in tokens and registers it. */
    async addEngine(
        id: string,
        service: string,
        failureDomain: string,
        stage: "prefill" | "decode",
        memoryTokens: number,
    ): Promise<PlatformEngineStandIn> {
        return await this.#add(
            new PlatformEngineStandIn(this.address(), id, stage, memoryTokens),
            service,
            failureDomain,
        );
    }

    /** Writes the entry of a server. */
    register(id: string, changes: Record<string, unknown> = {}): void {
        const server = this.servers.get(id);
        if (server) {
            const { standIn, service, failureDomain } = server;
            const entry = createServerEntry(standIn, { service, address: standIn.address, failureDomain, slots: 8 });
            this.store.put(`servers/${id}`, { ...entry, ...changes });
        }
    }

    /**
     * Removes the entry of a server.
     *
     * @returns The time of the store's acknowledgement in Unix milliseconds.
     */
    unregister(id: string): number {
        this.store.remove(`servers/${id}`);
        return Date.now();
    }

    /**
     * Starts all instances together, for the first time, and waits until they are ready.
     *
     * @throws {Error} If one of them does not become ready within 10 seconds.
     */
    async startInstances(failureDomains: string[]): Promise<void> {
        const common = { storeAddress: this.store.address, memoryMegabytes: 200, bounds };
        const planned = failureDomains.map((failureDomain, index) => ({
            name: `front-${failureDomain}-${index + 1}`,
            failureDomain,
            callersAddress: this.address(),
            readinessAddress: this.address(),
            instancesAddress: this.address(),
            metricsAddress: this.address(),
        }));
        const seedAddresses = planned.slice(0, 3).map(({ instancesAddress }) => instancesAddress);
        for (const addresses of planned) {
            const { name, failureDomain, callersAddress, readinessAddress } = addresses;
            const settingsFile = join(this.folder, `${name}.jsonc`);
            const logFile = join(this.folder, `${name}.log`);
            await writeFile(settingsFile, JSON.stringify({ ...addresses, seedAddresses, ...common, firstStart: true }));
            const process = this.#spawn(settingsFile, logFile);
            this.instances.push({
                name,
                failureDomain,
                callersAddress,
                readinessAddress,
                settingsFile,
                logFile,
                process,
            });
        }
        await Promise.all(this.instances.map(instance => this.waitUntilReady(instance)));
        for (const addresses of planned) {
            // Only the first start of the whole deployment is marked as one.
            const settingsFile = join(this.folder, `${addresses.name}.jsonc`);
            await writeFile(settingsFile, JSON.stringify({ ...addresses, seedAddresses, ...common }));
        }
    }

    /** Starts a new process in place of one that has ended. */
    restart(instance: Instance): void {
        instance.process = this.#spawn(instance.settingsFile, instance.logFile);
    }

    /**
     * Waits until an instance says that it is ready.
     *
     * @throws {Error} If it does not within 10 seconds.
     */
    async waitUntilReady(instance: Instance): Promise<void> {
        for (let attempt = 0; attempt < READY_ATTEMPTS; attempt++) {
            if (await isReady(instance.readinessAddress)) {
                return;
            }
            await new Promise(resolve => setTimeout(resolve, READY_RETRY_MILLISECONDS));
        }
        throw new Error(`${instance.name} did not become ready`);
    }

    /** Kills all processes that were started, without waiting for their end. */
    killAll(): void {
        this.instances.filter(({ process }) => !process.ended).forEach(({ process }) => void process.kill());
    }

    /**
     * Ends a server as if its process had exited: its port is closed, and its connections with it.
     *
     * @param id Id of the server.
     */
    async exitServer(id: string): Promise<void> {
        await this.servers.get(id)?.standIn.close();
        this.#exited.add(id);
    }

    /** Ends all processes that were started, closes the stand-ins and removes the temporary folder. */
    async close(): Promise<void> {
        await Promise.all(this.instances.map(async ({ process }) => {
            process.resume();
            await process.kill();
        }));
        const running = [...this.servers].filter(([id]) => !this.#exited.has(id));
        await Promise.all(running.map(([, { standIn }]) => standIn.close()));
        await this.store.close();
        await this.ports.close();
        await rm(this.folder, { recursive: true });
    }

    async #add<Server extends PlatformServerStandIn>(
        standIn: Server,
        service: string,
        failureDomain: string,
    ): Promise<Server> {
        await standIn.listen();
        this.servers.set(standIn.id, { standIn, service, failureDomain });
        this.register(standIn.id);
        return standIn;
    }

    #spawn(settingsFile: string, logFile: string): ManagedProcess {
        return new ManagedProcess(PROGRAM, logFile, { LABURNUMSLIP_CONFIG: settingsFile });
    }
}

function isReady(address: string): Promise<boolean> {
    const [host, port] = address.split(":");
    return new Promise(resolve => {
        const call = startRequest({ host, port, path: "/ready", agent: false, timeout: 500 }, response => {
            response.resume();
            resolve(response.statusCode === 200);
        });
        call.on("timeout", () => call.destroy());
        call.on("error", () => resolve(false));
        call.end();
    });
}
