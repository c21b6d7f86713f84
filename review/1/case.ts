import { Agent } from "node:http";
import { sendCall } from "../harness/caller.ts";
import { createConfiguration } from "../harness/create_configuration.ts";
import { bounds } from "../harness/review_fleet.ts";
import { type CaseContext, runCase } from "../harness/run_case.ts";
import { sleepUntil } from "../harness/sleep_until.ts";

const ZONES = ["riga-a", "riga-b", "jelgava"];
const INSTANCE_ZONES = ["riga-a", "riga-a", "riga-b", "riga-b", "riga-b", "jelgava"];
const SERVERS = 6;
const WORK_MILLISECONDS = 60;
const CLIENTS_PER_INSTANCE = 8;
const LONGEST_CLIENT_PAUSE_MILLISECONDS = 60;
/** Share of the requests that may run once at most, as on the sheet. */
const ONCE_SHARE = 0.7;
const SETTLE_MILLISECONDS = 6_000;
const ROUNDS = 4;
/** Delay after which the platform starts a process again that was killed. */
const RESTART_DELAY_MILLISECONDS = 500;
/** Times after the new start at which the entries of two servers are removed. */
const REMOVALS_MILLISECONDS = [1_500, 2_000];
/** Time after the drain time at which a server that has left exits. */
const EXIT_DELAY_MILLISECONDS = 150;
const ROUND_MILLISECONDS = 6_500;
/** Time for which a machine must have run to be judged. */
const CONTACT_MILLISECONDS = 3_000;

/** A server that leaves; times are Unix milliseconds. */
interface LeavingServer {
    id: string;
    removedAt: number;
}

await runCase(async context => {
    const { fleet, trouble, calls, record } = context;
    let serverCount = 0;
    const addServer = async () => {
        const zone = ZONES[serverCount % ZONES.length] ?? "";
        const server = await fleet.addServer(`i-${++serverCount}`, "orders", zone);
        server.setFaults({ delayMilliseconds: WORK_MILLISECONDS });
        return server.id;
    };
    const running: string[] = [];
    for (let index = 0; index < SERVERS; index++) {
        running.push(await addServer());
    }
    fleet.store.put("op/config", createConfiguration(1));
    await fleet.startInstances(INSTANCE_ZONES);
    await sleepUntil(Date.now() + SETTLE_MILLISECONDS);
    /** Times of the latest start, by instance. */
    const startedAt = new Map<string, number>();
    const traffic = startClients(context);
    const leaving: LeavingServer[] = [];
    for (let round = 0; round < ROUNDS; round++) {
        const instance = fleet.instances[round];
        const restartAt = Date.now() + RESTART_DELAY_MILLISECONDS;
        if (instance && trouble) {
            record(`${Date.now()} the process of ${instance.name} is killed`);
            await instance.process.kill();
            await sleepUntil(restartAt);
            fleet.restart(instance);
            startedAt.set(instance.name, Date.now());
            record(`${Date.now()} ${instance.name} starts again`);
        }
        const exits: Promise<void>[] = [];
        for (const after of REMOVALS_MILLISECONDS) {
            await sleepUntil(restartAt + after);
            const id = running.shift() ?? "";
            const removedAt = fleet.unregister(id);
            record(`${removedAt} the entry of ${id} is removed`);
            leaving.push({ id, removedAt });
            const exitAt = removedAt + bounds.drainMilliseconds + EXIT_DELAY_MILLISECONDS;
            exits.push(sleepUntil(exitAt).then(() => fleet.exitServer(id)));
        }
        await Promise.all(exits);
        // Others take the places of those that have left.
        for (const _ of REMOVALS_MILLISECONDS) {
            running.push(await addServer());
        }
        await sleepUntil(restartAt + ROUND_MILLISECONDS);
    }
    await traffic.stop();
    record(`statuses: ${JSON.stringify(countStatuses(calls))}`);
    return leaving.map(server => recordLateArrivals(context, server, startedAt)).some(late => late > 0);
});

/** Starts clients that keep their connections and go to the next instance when theirs has ended. */
function startClients({ fleet, calls }: CaseContext): { stop(): Promise<void>; } {
    let stopped = false;
    const client = async (number: number) => {
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        for (let sent = 0; !stopped; sent++) {
            const running = fleet.instances.filter(({ process }) => !process.ended);
            const instance = running[number % running.length];
            if (!instance) {
                throw new Error("No instance runs");
            }
            const once = Math.random() < ONCE_SHARE;
            await sendCall({
                address: instance.callersAddress,
                instance: instance.name,
                method: once ? "POST" : "GET",
                path: `${once ? "/order/" : "/status/"}${number}-${sent}`,
                key: "key-a",
                ...once ? { body: "one die" } : {},
                agent,
            }, calls);
            await sleepUntil(Date.now() + Math.random() * LONGEST_CLIENT_PAUSE_MILLISECONDS);
        }
        agent.destroy();
    };
    const clients = fleet.instances.flatMap((_, index) =>
        Array.from(
            { length: CLIENTS_PER_INSTANCE },
            (_client, number) => client(index + number * fleet.instances.length),
        )
    );
    return {
        stop: async () => {
            stopped = true;
            await Promise.all(clients);
        },
    };
}

/** Counts the requests that machines in touch took from their clients and sent to a server after its drain time. */
function recordLateArrivals(
    { fleet, calls, record }: CaseContext,
    { id, removedAt }: LeavingServer,
    startedAt: ReadonlyMap<string, number>,
): number {
    const byId = new Map(calls.map(call => [call.id, call]));
    const late = (fleet.servers.get(id)?.standIn.requests ?? []).flatMap(({ id: request, at }) => {
        const call = byId.get(request);
        const inTouchFrom = (startedAt.get(call?.instance ?? "") ?? Number.NEGATIVE_INFINITY) + CONTACT_MILLISECONDS;
        const isLate = at > removedAt + bounds.drainMilliseconds && call !== undefined && call.sentAt > inTouchFrom;
        return isLate ? [{ call, after: at - removedAt }] : [];
    });
    const lost = late.filter(({ call }) => call.status !== 200);
    const latest = Math.max(0, ...late.map(({ after }) => after));
    record(
        `${id}: ${late.length} requests arrived more than ${bounds.drainMilliseconds} ms after the acknowledgement, the `
            + `last after ${latest} ms; ${lost.length} of them were lost when the server exited`,
    );
    late.forEach(({ call, after }) =>
        record(`late ${call.id} from ${call.instance} after ${after} ms: ${call.status}`)
    );
    return late.length;
}

function countStatuses(calls: CaseContext["calls"]): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const { path, status } of calls) {
        const name = `${path.split("/")[1]} ${status}`;
        counts[name] = (counts[name] ?? 0) + 1;
    }
    return counts;
}
