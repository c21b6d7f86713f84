import { sleep } from "../../packages/clocks/mod.ts";
import { PlatformServerStandIn } from "../../platform/stand_ins/platform_server_stand_in.ts";
import { ReorderTraffic } from "../harness-2/reorder_traffic.ts";
import type { ReviewFleet } from "../harness-2/review_fleet.ts";
import { runCase } from "../harness-2/run_case.ts";

const INSTANCES = 2;
const SERVERS = 3;
/** What the server in trouble sends in place of its answer, again and again, before it closes the connection. */
const REFUSAL = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
const SPOILT_BYTES = 4_000_000;
const QUIET_MILLISECONDS = 3_000;
const PLAY_MILLISECONDS = 15_000;

type Exchange = Parameters<PlatformServerStandIn["answer"]>[0];

/** A server of which one answer to an order status goes wrong. All its other answers are sound. */
class ServerInTrouble extends PlatformServerStandIn {
    /** Whether the next answer to an order status goes wrong. */
    isDue = false;

    /** @inheritdoc */
    protected override async serve(exchange: Exchange): Promise<void> {
        const { path, response } = exchange;
        if (!this.isDue || !path.startsWith("/status/")) {
            await super.serve(exchange);
            return;
        }
        this.isDue = false;
        this.recordRun(exchange);
        this.sign(exchange);
        // An answer without a length ends with its connection.
        response.removeHeader("Transfer-Encoding");
        response.writeHead(200, { "Content-Type": "application/json" });
        response.end(REFUSAL.repeat(Math.floor(SPOILT_BYTES / REFUSAL.length)));
    }
}

async function play(fleet: ReviewFleet, trouble: boolean): Promise<boolean> {
    const servers = Array.from(
        { length: SERVERS },
        (_, index) => new ServerInTrouble(fleet.address(), `orderdesk-${index + 1}`),
    );
    await Promise.all(servers.map(server => server.listen()));
    await fleet.start(INSTANCES, servers.map(({ id, address }) => ({ id, address, service: "orderdesk", slots: 6 })));
    const traffic = new ReorderTraffic(fleet, INSTANCES);
    await sleep(QUIET_MILLISECONDS);
    const since = traffic.milliseconds;
    const [server] = servers;
    if (trouble && server) {
        server.isDue = true;
        fleet.record(`the next answer of ${server.id} to an order status is ${SPOILT_BYTES} bytes that are no answer`);
    }
    const lookups: Promise<void>[] = [];
    while (traffic.milliseconds < since + PLAY_MILLISECONDS) {
        // One of three servers is in trouble, so some lookups pass before it has spoilt its one answer.
        if (lookups.length < 30) {
            lookups.push(lookUp(fleet));
        }
        const ready = await Promise.all([0, 1].map(instance => fleet.readiness(instance, 1_000)));
        fleet.record(`/ready of the instances: ${ready.map(status => status || "no answer").join(", ")}`);
        await sleep(200);
    }
    const isBroken = await traffic.end(since);
    await Promise.all(lookups);
    servers.forEach(({ id, runs }) => fleet.record(`${id} ran ${runs.length} requests`));
    return isBroken;
}

/** Looks up an order status at the first instance. */
async function lookUp(fleet: ReviewFleet): Promise<void> {
    const { id, status, whole, body, milliseconds } = await fleet.call(0, { path: "/status/1", deadline: 3_000 });
    const end = `status ${status}, ${whole ? "whole" : "not whole"}, ${body.length} bytes`;
    fleet.record(`${id} order status at instance 0: ${end} after ${milliseconds} ms`);
}

void runCase("review/7/record.txt", play);
