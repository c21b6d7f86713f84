import { sleep } from "../clocks/mod.ts";
import { type CallResult, Fleet, parseCompletion } from "../harness/mod.ts";
import { computeCompletion } from "../stand_ins/mod.ts";

const LOAD_REQUESTS = 24;
const WARM_UP_MILLISECONDS = 3_000;

/**
 * Starts the stand-ins and three instances, sends each kind of request and kills one instance under load.
 *
 * @returns Exit code: 0 if every step succeeded, else 1.
 * @example
 * ```ts
 * process.exitCode = await runDemo();
 * ```
 */
export async function runDemo(): Promise<number> {
    print("Starting 2 prefill engines, 2 decode engines, 1 service, the store, the instance list and 3 instances.");
    const fleet = await Fleet.start();
    try {
        await sleep(WARM_UP_MILLISECONDS);
        const passed = [
            await showModelRequest(fleet),
            await showStatusLookup(fleet),
            await showReorder(fleet),
            await showRefusal(fleet),
            await showKill(fleet),
        ];
        const failures = passed.filter(ok => !ok).length;
        print(failures === 0 ? "Everything happened as it should." : `${failures} steps failed.`);
        return failures === 0 ? 0 : 1;
    }
    finally {
        await fleet.close();
    }
}

async function showModelRequest(fleet: Fleet): Promise<boolean> {
    const content = "Choose a die for 3 mm stainless steel, 90 degrees.";
    const result = await fleet.call(0, "/v1/chat/completions", {
        key: fleet.key("north"),
        body: { model: "drafting", messages: [{ role: "user", content }], max_tokens: 64, stream: true },
    });
    const completion = parseCompletion(result);
    const first = result.chunkTimes[0]?.toFixed(0);
    print(`Model request: status ${result.status}, finish ${completion.finish}, first token after ${first} ms`);
    const expected = computeCompletion(`<|user|>\n${content}\n`);
    const tokens = Math.min(64, expected.tokenCount);
    const text = Array.from({ length: tokens }, (_, index) => expected.token(index)).join("");
    return result.status === 200 && completion.text === text;
}

async function showStatusLookup(fleet: Fleet): Promise<boolean> {
    const result = await fleet.call(1, "/v1/status/reorder-17", { key: fleet.key("north") });
    print(`Status lookup: status ${result.status}`);
    return result.status === 200;
}

async function showReorder(fleet: Fleet): Promise<boolean> {
    const sendReorder = (index: number): Promise<CallResult> =>
        fleet.call(index, "/v1/orders", {
            key: fleet.key("north"),
            headers: { "idempotency-key": "reorder-17" },
            body: { item: "upper die", count: 2 },
        });
    const results = [await sendReorder(0), await sendReorder(1), await sendReorder(2)];
    const service = fleet.services[0]?.address ?? "";
    const { calls } = await fleet.controlStandIn<{ calls: { key: string; }[]; }>(service);
    const ran = calls.filter(({ key }) => key === "reorder-17").length;
    const statuses = results.map(({ status }) => status).join(", ");
    print(`Reorder sent to 3 instances: statuses ${statuses}; the service ran it ${ran} time`);
    return ran === 1 && results.every(({ status, text }) => status === 200 && text === results[0]?.text);
}

async function showRefusal(fleet: Fleet): Promise<boolean> {
    const result = await fleet.call(2, "/v1/orders", { key: "wrong", body: {} });
    print(`Unknown key: status ${result.status}, reason ${result.reason}, verdict ${result.verdict}`);
    return result.status === 401 && result.verdict === "not-run";
}

async function showKill(fleet: Fleet): Promise<boolean> {
    const requests = Array.from({ length: LOAD_REQUESTS }, (_, number) => ({ number, index: number % 3 }));
    const running = requests.map(async ({ number, index }) => ({
        index,
        result: await fleet.call(index, "/v1/completions", {
            key: fleet.key("south"),
            body: { model: "drafting", prompt: `Callback ${number}`, max_tokens: 60, stream: true },
        }),
    }));
    await sleep(300);
    await fleet.instances[2]?.process.kill();
    const results = await Promise.all(running);
    const others = results.filter(({ index }) => index !== 2);
    const served = others.filter(({ result }) => parseCompletion(result).finish !== undefined).length;
    const cut = results.filter(({ result }) => result.broken).length;
    print(`Killed instance 3 under load: ${served} of ${others.length} requests of the others served, ${cut} cut`);
    return served === others.length;
}

function print(line: string): void {
    process.stdout.write(`${line}\n`);
}
