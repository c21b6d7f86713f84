import { createHash } from "node:crypto";
import { sleep } from "../clocks/mod.ts";
import { StandInServer } from "./stand_in_server.ts";

interface RecordedCall {
    at: number;
    method: string;
    path: string;
    key: string;
    organisation: string;
    request: string;
    body: string;
}

/**
 * Stand-in for a plain service. Records each call that it runs.
 *
 * Faults: `delayMilliseconds`, `paddingBytes` (length of a text in each response), `cutAnswers` (probability that the response is dropped after the call ran).
 *
 * @example
 * ```ts
 * const service = new ServiceStandIn("127.0.0.1:9500");
 * await service.listen();
 * ```
 */
export class ServiceStandIn extends StandInServer {
    readonly #calls: RecordedCall[] = [];
    #cut = 0;

    /** @inheritdoc */
    protected async answer(request: Parameters<StandInServer["answer"]>[0]): Promise<void> {
        const { method, path, headers, body, response } = request;
        const key = String(headers["idempotency-key"] ?? "");
        const id = String(headers["x-request-id"] ?? "");
        const organisation = String(headers["x-organisation"] ?? "");
        this.#calls.push({ at: Date.now(), method, path, key, organisation, request: id, body: digest(body) });
        await sleep(Number(this.faults["delayMilliseconds"] ?? 0));
        if (Math.random() < Number(this.faults["cutAnswers"] ?? 0)) {
            this.#cut++;
            response.destroy();
            return;
        }
        this.reply(response, 200, {
            ran: true,
            key,
            echo: digest(body),
            organisation,
            padding: "x".repeat(Number(this.faults["paddingBytes"] ?? 0)),
        });
    }

    /** @inheritdoc */
    protected describe(): object {
        return { calls: this.#calls, cut: this.#cut };
    }
}

function digest(text: string): string {
    return createHash("sha256").update(text).digest("hex").slice(0, 16);
}
