import { once } from "node:events";
import { sleep } from "../../packages/clocks/mod.ts";
import { PlatformEngineStandIn } from "../../platform/stand_ins/platform_engine_stand_in.ts";
import { PlatformServerStandIn } from "../../platform/stand_ins/platform_server_stand_in.ts";
import { ReorderTraffic } from "../harness-2/reorder_traffic.ts";
import type { ReviewFleet } from "../harness-2/review_fleet.ts";
import { runCase } from "../harness-2/run_case.ts";

const INSTANCES = 2;
const MEMORY_TOKENS = 33_505;
/** Bytes a second that the engine in trouble sends, without end. */
const BYTES_PER_SECOND = 500_000;
const WRITES_PER_SECOND = 20;
/** A line that ends no event; each is sent as one chunk, as engines send what they generate. */
const LINE = "data: aaaaaaaa\n";
const QUIET_MILLISECONDS = 3_000;
const PLAY_MILLISECONDS = 18_000;

type Exchange = Parameters<PlatformEngineStandIn["answer"]>[0];

/**
 * A decode engine of which one answer goes wrong: after its first event come lines that end no event, without end, until
 * the caller closes the connection. All its other answers are sound.
 */
class EngineInTrouble extends PlatformEngineStandIn {
    /** Whether the next answer goes wrong. */
    isDue = false;
    /** Bytes of the answer that went wrong. */
    bytesSent = 0;

    /** @inheritdoc */
    protected override async serve(exchange: Exchange): Promise<void> {
        const { path, headers, response } = exchange;
        const isRun = (path.startsWith("/draft/") || path.startsWith("/plan/"))
            && headers["laburnumslip-stage"] === undefined;
        if (!isRun || !this.isDue) {
            await super.serve(exchange);
            return;
        }
        this.isDue = false;
        this.recordRun(exchange);
        this.sign(exchange);
        response.writeHead(200, { "Content-Type": "text/event-stream" });
        response.write("id: 1\ndata: 1\n\n");
        const { socket } = response;
        if (!socket) {
            return;
        }
        const chunk = `${LINE.length.toString(16)}\r\n${LINE}\r\n`;
        const block = Buffer.from(chunk.repeat(Math.ceil(BYTES_PER_SECOND / WRITES_PER_SECOND / chunk.length)));
        while (!socket.destroyed) {
            if (!socket.write(block)) {
                await Promise.race([once(socket, "drain"), once(socket, "close")]).catch(() => {});
            }
            this.bytesSent += block.length;
            await sleep(1_000 / WRITES_PER_SECOND);
        }
    }
}

async function play(fleet: ReviewFleet, trouble: boolean): Promise<boolean> {
    const orderdesks = [1, 2, 3].map(number => new PlatformServerStandIn(fleet.address(), `orderdesk-${number}`));
    const prefill = new PlatformEngineStandIn(fleet.address(), "drafter-1", "prefill", MEMORY_TOKENS);
    const decoders = [2, 3, 4].map(number =>
        new EngineInTrouble(fleet.address(), `drafter-${number}`, "decode", MEMORY_TOKENS)
    );
    await Promise.all([...orderdesks, prefill, ...decoders].map(server => server.listen()));
    await fleet.start(INSTANCES, [
        ...orderdesks.map(({ id, address }) => ({ id, address, service: "orderdesk", slots: 6 })),
        { id: prefill.id, address: prefill.address, service: "drafter", stage: "prefill", slots: 128 },
        ...decoders.map(({ id, address }) => ({
            id,
            address,
            service: "drafter",
            stage: "decode" as const,
            slots: 128,
        })),
    ]);
    const traffic = new ReorderTraffic(fleet, INSTANCES);
    await sleep(QUIET_MILLISECONDS);
    const since = traffic.milliseconds;
    const [engine] = decoders;
    if (trouble && engine) {
        engine.isDue = true;
        fleet.record(`from its next run on, one answer of ${engine.id} is without end`);
    }
    const streams = [];
    while (traffic.milliseconds < since + PLAY_MILLISECONDS) {
        // One of three engines is in trouble, so some streams pass before it has spoilt its one answer.
        if (streams.length < 12) {
            streams.push(recordStream(fleet, streams.length));
        }
        const ready = await Promise.all([0, 1].map(instance => fleet.readiness(instance, 1_000)));
        fleet.record(`/ready of the instances: ${ready.map(status => status || "no answer").join(", ")}`);
        await sleep(500);
    }
    const isBroken = await traffic.end(since);
    await Promise.all(streams);
    fleet.record(`bytes of the answer without end: ${engine?.bytesSent}`);
    orderdesks.forEach(({ id, runs }) => fleet.record(`${id} ran ${runs.length} reorders`));
    decoders.forEach(({ id, runs }) => fleet.record(`${id} ran ${runs.map(run => run.id).join(", ")}`));
    return isBroken;
}

/** Sends a bend plan to the first instance. */
async function recordStream(fleet: ReviewFleet, number: number): Promise<void> {
    const result = await fleet.call(0, {
        method: "POST",
        path: "/plan/1",
        body: "drawing",
        deadline: 14_000,
        headers: {
            "Laburnumslip-Model": "m",
            "Laburnumslip-Token-Count": "3000,72",
            "Laburnumslip-Prompt-Prefix": `5c1e07a2:200,${number.toString(16)}e4402b7d:2800`,
        },
    });
    const events = [...result.body.matchAll(/^id: /gm)].length;
    const end = `status ${result.status}, ${events} events, ${result.whole ? "whole" : "not whole"}`;
    fleet.record(`${result.id} bend plan at instance 0: ${end} after ${result.milliseconds} ms`);
}

void runCase("review/6/record.txt", play);
