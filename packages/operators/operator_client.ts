import { err, ok, type Result } from "neverthrow";
import { randomUUID } from "node:crypto";
import { readFile } from "node:fs/promises";
import { monotonicMilliseconds, sleep } from "../clocks/mod.ts";
import {
    type ConfigurationChange,
    type DocumentOperation,
    type StoredConfiguration,
    storedConfigurationSchema,
} from "../configuration/mod.ts";
import { InstanceClient } from "../instances/mod.ts";
import { Metrics } from "../metrics/mod.ts";

const CHANGE_TIMEOUT_MILLISECONDS = 8_000;
const MAXIMUM_CHANGE_ATTEMPTS = 3;
const POLL_MILLISECONDS = 100;

/** State of the fleet as one instance reports it. */
interface FleetStatus {
    instance: string;
    epoch: number;
    version: number;
    homes: number;
    pending: number;
    servers: { server: string; capacity: number; reserved: number; allowed: number; waiting: number; down: boolean; }[];
    fleet: { instance: string; version?: number; epoch?: number; }[];
}

/** Outcome of a change. */
type ChangeOutcome =
    | { kind: "stored"; version: number; }
    | { kind: "raced"; version: number; changes: ConfigurationChange[]; }
    | { kind: "failed"; verdict: string; message: string; };

/**
 * Calls instances on behalf of an operator. Each call goes to the first address that responds.
 *
 * @example
 * ```ts
 * const client = await OperatorClient.create("127.0.0.1:7201,127.0.0.1:7202", "secret.txt");
 * const status = await client.status();
 * client.close();
 * ```
 */
export class OperatorClient {
    readonly #clients: InstanceClient[];

    /**
     * @param addresses Addresses of instances, separated by commas.
     * @param secret Secret shared by instances and operators.
     */
    constructor(addresses: string, secret: string) {
        const metrics = new Metrics();
        const identity = { name: "operator", incarnation: randomUUID().slice(0, 8) };
        this.#clients = addresses.split(",").map(address =>
            new InstanceClient(address.trim(), identity, secret, { metrics, role: "operator" })
        );
    }

    /**
     * Creates a client.
     *
     * @param addresses Addresses of instances, separated by commas.
     * @param secretFile File that contains the secret.
     * @returns The client.
     * @throws {Error} If the file cannot be read.
     */
    static async create(addresses: string, secretFile: string): Promise<OperatorClient> {
        return new OperatorClient(addresses, (await readFile(secretFile, "utf8")).trim());
    }

    /**
     * Reads the state of the fleet.
     *
     * @returns The state, or the error of the last instance that was called.
     */
    async status(): Promise<Result<FleetStatus, string>> {
        return await this.#call<FleetStatus>("operators.status", {});
    }

    /**
     * Reads the configuration in force.
     *
     * @returns The configuration, or the error of the last instance that was called.
     */
    async configuration(): Promise<Result<StoredConfiguration, string>> {
        const response = await this.#call("operators.configuration", {});
        return response.andThen(value => {
            const parsed = storedConfigurationSchema.safeParse(value);
            return parsed.success ? ok(parsed.data) : err("Cannot parse the configuration of the instance");
        });
    }

    /**
     * Changes the configuration. A change that is not confirmed is sent again with the same attempt id.
     *
     * @param operations The changed entries.
     * @param baseVersion Version that the change is based on; any version if absent.
     * @returns The outcome, or the error of the last instance that was called.
     */
    async change(operations: DocumentOperation[], baseVersion?: number): Promise<Result<ChangeOutcome, string>> {
        const change: ConfigurationChange = { version: 0, attempt: randomUUID(), operations };
        const params = baseVersion === undefined ? { change } : { baseVersion, change };
        let result: Result<ChangeOutcome, string> = err("No instance to call");
        for (let attempt = 0; attempt < MAXIMUM_CHANGE_ATTEMPTS; attempt++) {
            result = await this.#call<ChangeOutcome>("operators.change", params, CHANGE_TIMEOUT_MILLISECONDS);
            if (result.isOk() && result.value.kind !== "failed") {
                return result;
            }
        }
        return result;
    }

    /**
     * Waits until a version is in force at every instance.
     *
     * @param version The version.
     * @param timeoutMilliseconds Time limit.
     * @returns Number of instances, and the names of those that do not respond or where the version is not in force.
     */
    async waitUntilInForce(
        version: number,
        timeoutMilliseconds: number,
    ): Promise<{ total: number; missing: string[]; }> {
        const deadline = monotonicMilliseconds() + timeoutMilliseconds;
        while (true) {
            const status = await this.status();
            const fleet = status.isOk() ? status.value.fleet : [];
            const missing = fleet.filter(entry => (entry.version ?? -1) < version).map(({ instance }) => instance);
            if (fleet.length > 0 && missing.length === 0 || monotonicMilliseconds() > deadline) {
                return { total: fleet.length, missing: fleet.length === 0 ? ["every instance"] : missing };
            }
            await sleep(POLL_MILLISECONDS);
        }
    }

    /**
     * Sends an order to a backend server.
     *
     * @param server Name of the server.
     * @param kind Kind of the order.
     * @param target Model, adapter, version or role.
     * @returns The outcome, or the error of the last instance that was called.
     */
    async order(
        server: string,
        kind: string,
        target: string,
    ): Promise<Result<{ kind: string; message?: string; }, string>> {
        return await this.#call("operators.order", { server, kind, target });
    }

    /** Closes the connections. */
    close(): void {
        this.#clients.forEach(client => client.close());
    }

    async #call<Value>(method: string, params: object, timeoutMilliseconds?: number): Promise<Result<Value, string>> {
        let message = "No instance to call";
        for (const client of this.#clients) {
            const response = await client.call<Value>(method, params, timeoutMilliseconds);
            if (response.isOk()) {
                return ok(response.value);
            }
            message = `${client.address}: ${response.error.message}`;
        }
        return err(message);
    }
}
