import { err, ok, type Result } from "neverthrow";
import { Pool } from "undici";
import * as z from "zod";
import type { InstanceList } from "./instance_list.ts";
import type { ListedInstance } from "./listed_instance.ts";

const TIMEOUT_MILLISECONDS = 2_000;

const responseSchema = z.object({
    instances: z.array(z.object({ name: z.string(), address: z.string(), state: z.enum(["live", "leaving"]) })),
});

/**
 * Client of the platform's instance list over HTTP (`GET /v1/instances`).
 *
 * @example
 * ```ts
 * const list = new HttpInstanceList("127.0.0.1:7100");
 * const instances = await list.fetch();
 * await list.close();
 * ```
 */
export class HttpInstanceList implements InstanceList {
    readonly #pool: Pool;

    /**
     * @param address IP address and port of the instance list.
     */
    constructor(address: string) {
        this.#pool = new Pool(`http://${address}`, { connections: 1 });
    }

    /** @inheritdoc */
    async fetch(): Promise<Result<ListedInstance[], string>> {
        try {
            const response = await this.#pool.request({
                method: "GET",
                path: "/v1/instances",
                signal: AbortSignal.timeout(TIMEOUT_MILLISECONDS),
            });
            return ok(responseSchema.parse(await response.body.json()).instances);
        }
        catch (error) {
            return err(`Cannot fetch the instance list: ${String(error)}`);
        }
    }

    /** @inheritdoc */
    async close(): Promise<void> {
        await this.#pool.destroy();
    }
}
