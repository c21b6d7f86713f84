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
const CHANGE_ATTEMPTS = 3;
const POLL_MILLISECONDS = 100;

/** What an instance says of itself and of the fleet. */
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
 * Calls instances on behalf of an operator; the first address that answers serves.
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
     * @param secretFile File with the secret.
     * @returns The client.
     * @throws {Error} If the file cannot be read.
     */
    static async create(addresses: string, secretFile: string): Promise<OperatorClient> {
        return new OperatorClient(addresses, (await readFile(secretFile, "utf8")).trim());
    }

    /**
     * Reads the state of the fleet.
     *
     * @returns The state, or why no instance could say it.
     */
    async status(): Promise<Result<FleetStatus, string>> {
        return await this.#call<FleetStatus>("operators.status", {});
    }

    /**
     * Reads the configuration in force.
     *
     * @returns The configuration.
     */
    async configuration(): Promise<Result<StoredConfiguration, string>> {
        const answer = await this.#call("operators.configuration", {});
        return answer.andThen(value => {
            const parsed = storedConfigurationSchema.safeParse(value);
            return parsed.success ? ok(parsed.data) : err("Cannot parse the configuration of the instance");
        });
    }

    /**
     * Changes the configuration. A change whose answer is lost is sent again under the same attempt id.
     *
     * @param operations The change.
     * @param baseVersion Version that the change was made for; any if absent.
     * @returns The outcome.
     */
    async change(operations: DocumentOperation[], baseVersion?: number): Promise<Result<ChangeOutcome, string>> {
        const change: ConfigurationChange = { version: 0, attempt: randomUUID(), operations };
        const params = baseVersion === undefined ? { change } : { baseVersion, change };
        let last: Result<ChangeOutcome, string> = err("No instance to call");
        for (let attempt = 0; attempt < CHANGE_ATTEMPTS; attempt++) {
            last = await this.#call<ChangeOutcome>("operators.change", params, CHANGE_TIMEOUT_MILLISECONDS);
            if (last.isOk() && last.value.kind !== "failed") {
                return last;
            }
        }
        return last;
    }

    /**
     * Waits until a version is in force at every instance.
     *
     * @param version The version.
     * @param timeoutMilliseconds Longest wait.
     * @returns Number of instances, and the names of those where it is not in force or that do not answer.
     */
    async waitUntilInForce(
        version: number,
        timeoutMilliseconds: number,
    ): Promise<{ total: number; missing: string[]; }> {
        const deadline = monotonicMilliseconds() + timeoutMilliseconds;
        while (true) {
            const status = await this.status();
            const fleet = status.isOk() ? status.value.fleet : [];
            const missing = fleet.filter(row => (row.version ?? -1) < version).map(({ instance }) => instance);
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
     * @param kind What to do.
     * @param target Model, adapter, version or role.
     * @returns The outcome.
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
            const answer = await client.call<Value>(method, params, timeoutMilliseconds);
            if (answer.isOk()) {
                return ok(answer.value);
            }
            message = `${client.address}: ${answer.error.message}`;
        }
        return err(message);
    }
}
