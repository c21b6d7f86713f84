import { sleep } from "../clocks/mod.ts";
import { type DocumentOperation, hashKey } from "../configuration/mod.ts";
import type { SoakContext } from "./_soak_context.ts";

/** Time within which a configuration change must be in force at every instance. */
const IN_FORCE_MILLISECONDS = 5_000;

/** Model requests sent to an instance just before its shutdown. */
const CALLS_BEFORE_SHUTDOWN = 3;
/** Time from those calls to the shutdown, and from the shutdown until the load balancer stops sending. */
const LOAD_BALANCER_DELAY_MILLISECONDS = 100;

type Fault = (context: SoakContext) => Promise<boolean>;

/** Faults by kind. Each function injects a fault, ends it within seconds and returns whether it was injected. */
export const faults: Record<string, Fault> = {
    "instance-killed": async context => {
        return await withInstance(context, async index => {
            const { fleet, random } = context;
            await fleet.instances[index]?.process.kill();
            removeFromLoadBalancer(context, index);
            await sleep(random.integer(200, 2_500));
            await fleet.restart(index);
        });
    },
    "instance-frozen": async context => {
        return await withInstance(context, async index => {
            const { fleet, random } = context;
            fleet.instances[index]?.process.suspend();
            await sleep(random.integer(500, 6_000));
            fleet.instances[index]?.process.resume();
            await fleet.waitUntilReady(index);
        });
    },
    "instance-replaced": async context => {
        return await withInstance(context, async index => {
            const { fleet, shutdowns, traffic } = context;
            const from = Date.now();
            const runningCalls = Array.from({ length: CALLS_BEFORE_SHUTDOWN }, () => traffic.callModelAt(index));
            await sleep(LOAD_BALANCER_DELAY_MILLISECONDS);
            const ended = fleet.instances[index]?.process.terminate();
            // The load balancer keeps sending requests for a part of the instance's grace period.
            await sleep(LOAD_BALANCER_DELAY_MILLISECONDS);
            removeFromLoadBalancer(context, index);
            await ended;
            await Promise.all(runningCalls);
            shutdowns.push({ index, from, to: Date.now() });
            await fleet.restart(index);
        });
    },
    "instances-partitioned": async context => {
        const { fleet, random } = context;
        const indexes = [...fleet.instances.keys()];
        const border = random.integer(1, indexes.length - 1);
        fleet.partition([indexes.slice(0, border), indexes.slice(border)]);
        await sleep(random.integer(1_000, 5_000));
        fleet.partition([]);
        return true;
    },
    "store-outage": context => withStore(context, { outage: true }, { outage: false }),
    "store-slow": context => withStore(context, { delayMilliseconds: 400 }, { delayMilliseconds: 0 }),
    "store-answers-lost": context => withStore(context, { loseAnswers: 0.4 }, { loseAnswers: 0 }),
    "store-reads-lag": context => withStore(context, { readLagMilliseconds: 1_500 }, { readLagMilliseconds: 0 }),
    "service-answers-cut": context => withServices(context, { cutAnswers: 0.4 }, { cutAnswers: 0 }),
    "service-slow": context => withServices(context, { delayMilliseconds: 800 }, { delayMilliseconds: 0 }),
    "engine-crashed": async context => {
        const engine = context.random.pick(context.fleet.engines);
        await context.fleet.controlStandIn(engine.address, { crash: true });
        return true;
    },
    "transfers-stalled": context => withEngine(context, { stallTransfers: true }, { stallTransfers: false }),
    "events-crossed": context => withEngine(context, { crossEvents: 0.05 }, { crossEvents: 0 }),
    "events-repeated": context => withEngine(context, { repeatEvents: 0.2 }, { repeatEvents: 0 }),
    "cancel-answers-lost": context => withEngine(context, { loseCancelAnswers: 0.7 }, { loseCancelAnswers: 0 }),
    "domain-drained": async context => {
        const { fleet, random, drains } = context;
        const domain = random.pick([...new Set(fleet.engines.map(({ failureDomain }) => failureDomain))]);
        const value = { since: new Date().toISOString() };
        if (!await changeConfiguration(context, [{ collection: "drainedDomains", name: domain, value }])) {
            return false;
        }
        const from = Date.now();
        await sleep(IN_FORCE_MILLISECONDS + random.integer(1_000, 4_000));
        const to = Date.now();
        while (!await changeConfiguration(context, [{ collection: "drainedDomains", name: domain }])) {
            await sleep(200);
        }
        const servers = fleet.engines.filter(({ failureDomain }) => failureDomain === domain);
        drains.push({ servers: servers.map(({ address }) => address), from, to });
        return true;
    },
    "key-withdrawn": async context => {
        const { random, keys, withdrawals } = context;
        const organisation = random.pick([...keys.keys()]);
        const key = keys.get(organisation) ?? "";
        const next = `key-${random.integer(1, 1e9)}-of-${organisation}`;
        const value = { organisation, label: "" };
        if (!await changeConfiguration(context, [{ collection: "keys", name: hashKey(next), value }])) {
            return false;
        }
        if (!await changeConfiguration(context, [{ collection: "keys", name: hashKey(key) }])) {
            return false;
        }
        const from = Date.now();
        // Callers keep using the old API key for a while.
        await sleep(IN_FORCE_MILLISECONDS + random.integer(500, 3_000));
        keys.set(organisation, next);
        withdrawals.push({ organisation, key, from, to: Number.POSITIVE_INFINITY });
        return true;
    },
    "operators-raced": async context => {
        const { fleet, random, races } = context;
        const clients = [fleet.operator(pickHealthyInstance(context)), fleet.operator(pickHealthyInstance(context))];
        const base = await clients[0]?.configuration();
        if (!base?.isOk()) {
            clients.forEach(client => client.close());
            return false;
        }
        const { version } = base.value;
        const names = clients.map(() => hashKey(`race-${random.next()}`));
        const value = { organisation: Object.keys(fleet.organisations)[0] ?? "", label: "race" };
        const outcomes = await Promise.all(
            clients.map((client, index) =>
                client.change([{ collection: "keys", name: names[index] ?? "", value }], version)
            ),
        );
        clients.forEach(client => client.close());
        const responses = outcomes.flatMap(outcome => outcome.isOk() ? [outcome.value] : []);
        if (responses.length < outcomes.length || responses.some(({ kind }) => kind === "failed")) {
            return false;
        }
        const stored = responses.filter(({ kind }) => kind === "stored").length;
        // Another fault may have changed the configuration first, so that both operators lost the race to it.
        const otherChanges = responses.flatMap(response => response.kind === "raced" ? response.changes : [])
            .filter(change => change.version === version + 1)
            .filter(change => change.operations.every(({ name }) => !names.includes(name)));
        races.push(stored + (otherChanges.length > 0 ? 1 : 0));
        return true;
    },
};

async function withInstance(context: SoakContext, inject: (index: number) => Promise<void>): Promise<boolean> {
    const { fleet, faultyInstances, random, traffic } = context;
    const free = [...fleet.instances.keys()].filter(index => !faultyInstances.has(index));
    // More than half of the instances must be without a fault, so that the load balancer always has targets.
    if (free.length <= fleet.instances.length / 2) {
        return false;
    }
    const index = random.pick(free);
    faultyInstances.add(index);
    await inject(index);
    faultyInstances.delete(index);
    traffic.loadBalancerTargets.add(index);
    return true;
}

/** Removes an instance from the load balancer's targets and from the instance list. */
function removeFromLoadBalancer({ fleet, traffic }: SoakContext, index: number): void {
    traffic.loadBalancerTargets.delete(index);
    const instance = fleet.instances[index];
    if (instance) {
        instance.listed = false;
        void fleet.updateInstanceList();
    }
}

async function withStore(context: SoakContext, faultsOn: object, faultsOff: object): Promise<boolean> {
    return await withStandIns(context, [context.fleet.storeAddress], faultsOn, faultsOff);
}

async function withServices(context: SoakContext, faultsOn: object, faultsOff: object): Promise<boolean> {
    return await withStandIns(context, context.fleet.services.map(({ address }) => address), faultsOn, faultsOff);
}

async function withEngine(context: SoakContext, faultsOn: object, faultsOff: object): Promise<boolean> {
    return await withStandIns(context, [context.random.pick(context.fleet.engines).address], faultsOn, faultsOff);
}

async function withStandIns(
    context: SoakContext,
    addresses: string[],
    faultsOn: object,
    faultsOff: object,
): Promise<boolean> {
    const { fleet, random } = context;
    await Promise.all(addresses.map(address => fleet.controlStandIn(address, faultsOn)));
    await sleep(random.integer(1_000, 6_000));
    await Promise.all(addresses.map(address => fleet.controlStandIn(address, faultsOff)));
    return true;
}

/** Changes the configuration through an instance without a fault; returns whether the change was stored. */
async function changeConfiguration(context: SoakContext, operations: DocumentOperation[]): Promise<boolean> {
    try {
        const version = await context.fleet.change(operations, pickHealthyInstance(context));
        context.storedChanges.push({ version, at: Date.now() });
        return true;
    }
    catch {
        return false;
    }
}

/** Picks an instance without a fault. */
function pickHealthyInstance({ fleet, faultyInstances, random }: SoakContext): number {
    return random.pick([...fleet.instances.keys()].filter(index => !faultyInstances.has(index)));
}
