import { createJSONRPCNotification } from "json-rpc-2.0";
import { err, ok, type Result } from "neverthrow";
import type { Metrics } from "../metrics/mod.ts";
import { CallFailure } from "./call_failure.ts";
import { encodeFrame } from "./encode_frame.ts";
import { InstanceClient } from "./instance_client.ts";
import type { InstanceClientOptions } from "./instance_client_options.ts";
import { instanceId } from "./instance_id.ts";
import type { InstanceIdentity } from "./instance_identity.ts";
import type { InstanceServer } from "./instance_server.ts";

type Target = InstanceIdentity & { address: string; };

/**
 * Maintains one connection to each other instance.
 *
 * @example
 * ```ts
 * const pool = new InstancePool(self, "secret", metrics, server);
 * await pool.call({ name: "b", incarnation: "2", address: "127.0.0.1:7201" }, "echo", { text: "hello" });
 * pool.close();
 * ```
 */
export class InstancePool {
    readonly #clients = new Map<string, InstanceClient>();
    readonly #terminationListeners: ((target: Target, failure: CallFailure) => void)[] = [];

    /**
     * @param identity Identity of this instance.
     * @param secret Secret shared by all instances.
     * @param metrics Receives message and byte counts.
     * @param server Runs the calls that this instance makes to itself.
     * @param options Options of the connections.
     */
    constructor(
        private readonly identity: InstanceIdentity,
        private readonly secret: string,
        private readonly metrics: Metrics,
        private readonly server: InstanceServer,
        private readonly options: Pick<InstanceClientOptions, "compress"> = {},
    ) {}

    /**
     * Calls a method of an instance; a call to this instance runs without a connection.
     *
     * @param target The instance.
     * @param method Name of the method.
     * @param params Its parameters.
     * @param timeoutMilliseconds Time limit for the response.
     * @returns The result, or the failure.
     */
    async call<Value>(
        target: Target | undefined,
        method: string,
        params: object,
        timeoutMilliseconds?: number,
    ): Promise<Result<Value, CallFailure>> {
        if (!target) {
            return err(new CallFailure("unreachable", "not-run", "No instance to call"));
        }
        if (instanceId(target) === instanceId(this.identity)) {
            return await this.#callSelf(method, params);
        }
        const result = await this.#client(target).call<Value>(method, params, timeoutMilliseconds);
        if (result.isErr() && result.error.provesTermination) {
            this.#closeClient(target);
            for (const listener of this.#terminationListeners) {
                listener(target, result.error);
            }
        }
        return result;
    }

    /**
     * Calls a method of an instance without waiting for a result; a lost call is not reported.
     *
     * @param target The instance.
     * @param method Name of the method.
     * @param params Its parameters.
     * @returns A promise that resolves once the call is sent or has failed.
     */
    async notify(target: Target | undefined, method: string, params: object): Promise<void> {
        if (!target) {
            return;
        }
        if (instanceId(target) === instanceId(this.identity)) {
            await this.#callSelf(method, params);
            return;
        }
        await this.#client(target).notify(method, params);
    }

    /**
     * Calls a method of many instances without waiting for results; lost calls are not reported. The frame is encoded
     * once.
     *
     * @param targets The instances; this one must not be among them.
     * @param method Name of the method.
     * @param params Its parameters.
     */
    broadcast(targets: Target[], method: string, params: object): void {
        if (targets.length === 0) {
            return;
        }
        const frame = encodeFrame(createJSONRPCNotification(method, params), this.options.compress);
        for (const target of targets) {
            void this.#client(target).sendFrame(method, frame);
        }
    }

    /**
     * Calls the instance at an address, whichever incarnation it is.
     *
     * @param address IP address and port.
     * @param method Name of the method.
     * @param params Its parameters.
     * @returns The result, or the failure.
     */
    async callAddress<Value>(address: string, method: string, params: object): Promise<Result<Value, CallFailure>> {
        const client = new InstanceClient(address, this.identity, this.secret, { metrics: this.metrics });
        const result = await client.call<Value>(method, params);
        client.close();
        return result;
    }

    /**
     * Registers a function that is called when a failed call proves that an instance has terminated.
     *
     * @param listener The function.
     */
    onTermination(listener: (target: Target, failure: CallFailure) => void): void {
        this.#terminationListeners.push(listener);
    }

    /**
     * Closes the connections to instances that are no longer members.
     *
     * @param ids Ids of the members.
     */
    retain(ids: Set<string>): void {
        for (const [id, client] of this.#clients) {
            if (!ids.has(id)) {
                client.close();
                this.#clients.delete(id);
            }
        }
    }

    /**
     * Closes the connection to an instance that has stopped responding; the next call opens a new one.
     *
     * @param target The instance.
     */
    disconnect(target: Target): void {
        this.#closeClient(target);
    }

    /**
     * Returns whether a connection to an instance stands.
     *
     * @param target The instance.
     * @returns Whether it does.
     */
    isConnected(target: Target): boolean {
        return this.#clients.get(instanceId(target))?.isConnected ?? false;
    }

    /** Closes every connection. */
    close(): void {
        for (const client of this.#clients.values()) {
            client.close();
        }
        this.#clients.clear();
    }

    async #callSelf<Value>(method: string, params: object): Promise<Result<Value, CallFailure>> {
        try {
            return ok(await this.server.invoke(method, params) as Value);
        }
        catch (error) {
            return err(new CallFailure("error", "may-have-run", String(error)));
        }
    }

    #client(target: Target): InstanceClient {
        const id = instanceId(target);
        let client = this.#clients.get(id);
        if (!client) {
            const { incarnation } = target;
            client = new InstanceClient(target.address, this.identity, this.secret, {
                ...this.options,
                metrics: this.metrics,
                incarnation,
            });
            this.#clients.set(id, client);
        }
        return client;
    }

    #closeClient(target: Target): void {
        const id = instanceId(target);
        this.#clients.get(id)?.close();
        this.#clients.delete(id);
    }
}
