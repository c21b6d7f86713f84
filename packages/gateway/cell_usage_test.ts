import { PassThrough } from "node:stream";
import { expect, test } from "vitest";
import { SuspensionAwareClock } from "../clocks/mod.ts";
import type { OrganisationProfile } from "../directory/mod.ts";
import { createLogger } from "../logs/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { CellExchange } from "../peers/cell_exchange.ts";
import { MemberList } from "../peers/member_list.ts";
import type { Peer } from "../peers/mod.ts";
import { createEmptyReport } from "../prompt_parts/mod.ts";
import { RandomSource } from "../randomness/mod.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import { RateLimiter } from "./rate_limiter.ts";

const STEP_MILLISECONDS = 50;
const REPORT_MILLISECONDS = 150;
const WINDOW_MILLISECONDS = 8_000;
const EXCESS = 0.1;
const SLACK = 140_000;
const RATE = 100_000;
const LIMIT = RATE * 8 + RATE;
const REQUEST_UNITS = 5_000;

const organisation: OrganisationProfile = {
    name: "acme",
    keys: [],
    priority: undefined,
    countsTokens: true,
    defaultRequestTokens: 200,
    ratePerSecond: RATE,
    burst: RATE,
};
const request = { organisation, promptTokens: 4_000, outputTokens: 1_000 } as GatewayRequest;

interface Message {
    from: string;
    to: string;
    dueAt: number;
    deliver: () => void;
}

interface Node {
    self: Peer;
    frozenUntil: number;
    limiter: RateLimiter;
    exchange: CellExchange;
    members: MemberList;
    receive: (method: string, params: object) => void;
}

/** Instances with real member lists, cell exchanges and limiters over a scripted clock and network. */
class ScriptedFleet {
    readonly nodes = new Map<string, Node>();
    readonly admitted: { at: number; units: number; }[] = [];
    refused = 0;
    /** Whether messages from one instance reach another. */
    connected: (from: string, to: string) => boolean = () => true;
    now = 0;
    #messages: Message[] = [];
    #incarnations = 0;

    constructor(readonly random: RandomSource, count: number, readonly domains: number) {
        for (let index = 0; index < count; index++) {
            this.start(`instance-${index}`, `domain-${index % domains}`, true);
        }
    }

    start(name: string, failureDomain: string, firstStart: boolean): void {
        const self = { name, incarnation: String(this.#incarnations++), address: `10.0.0.1:${name}`, failureDomain };
        const clock = new SuspensionAwareClock(() => this.now, () => this.now);
        const members = new MemberList(self, () => this.now);
        const logger = createLogger(name, new PassThrough().resume());
        const limiter = new RateLimiter({
            self,
            windowMilliseconds: WINDOW_MILLISECONDS,
            excess: EXCESS,
            slack: SLACK,
            firstStart,
            instanceCount: () => members.peers().length + 1,
            isInOtherCell: peer => {
                const cell = members.partition.cellOf(peer);
                return cell !== undefined && cell !== members.partition.cellOf(name);
            },
            clock,
        });
        const handlers = new Map<string, (params: never, context: never) => Promise<unknown>>();
        const exchange = new CellExchange({
            self,
            pool: {
                broadcast: (targets, method, params) =>
                    targets.forEach(target => this.#send(name, target.name, method, params)),
            },
            server: { handle: (method, _schema, handler) => handlers.set(method, handler) },
            members,
            usageWindowMilliseconds: WINDOW_MILLISECONDS,
            clock,
            metrics: new Metrics(),
            logger,
            createState: () => ({
                usage: limiter.summarise(members.partition.cellOf(name)?.members.length ?? 1),
                serverUsage: [],
                versionOutcomes: [],
                serverLimits: [],
                stageLoads: {},
                changing: [],
                gone: [],
                goneStarts: [],
                leaving: [],
                crashes: [],
                promptParts: createEmptyReport(),
            }),
            onState: ({ usage }) => limiter.recordCellUsage(usage),
        });
        const receive = (method: string, params: object) => {
            if (method === "report") {
                const { from, usage } = params as { from: Peer; usage: ReturnType<RateLimiter["report"]>; };
                members.recordReport(from, true);
                limiter.recordPeerReport(from.name, from.incarnation, usage);
                return;
            }
            void handlers.get(method)?.(params as never, undefined as never);
        };
        this.nodes.set(name, { self, frozenUntil: 0, limiter, exchange, members, receive });
        // Registrations reach every instance through the store.
        for (const node of this.nodes.values()) {
            node.members.register(self);
            members.register(node.self);
        }
    }

    kill(name: string): void {
        this.nodes.delete(name);
        this.#messages = this.#messages.filter(({ to }) => to !== name);
    }

    freeze(name: string, milliseconds: number): void {
        const node = this.nodes.get(name);
        if (node) {
            node.frozenUntil = this.now + milliseconds;
        }
    }

    // Lets one step pass, in which callers request a number of units of the limit at random running instances.
    step(requestedUnits: number, at: (name: string) => boolean = () => true): void {
        this.now += STEP_MILLISECONDS;
        const due = this.#messages.filter(({ dueAt, to }) => dueAt <= this.now && this.#runs(to));
        this.#messages = this.#messages.filter(message => !due.includes(message));
        due.forEach(({ deliver }) => deliver());
        const running = [...this.nodes.values()].filter(({ self }) => this.#runs(self.name));
        for (const [index, node] of running.entries()) {
            if ((this.now / STEP_MILLISECONDS + index) % (REPORT_MILLISECONDS / STEP_MILLISECONDS) === 0) {
                const params = { from: node.self, usage: node.limiter.report() };
                const mates = node.members.partition.cellOf(node.self.name)?.members ?? [];
                mates.forEach(mate => mate !== node.self.name && this.#send(node.self.name, mate, "report", params));
            }
            node.exchange.step();
        }
        const open = running.filter(({ self }) => at(self.name));
        for (let units = this.random.next() * REQUEST_UNITS; units < requestedUnits && open.length > 0;) {
            if (this.random.pick(open).limiter.charge(request).isOk()) {
                this.admitted.push({ at: this.now, units: REQUEST_UNITS });
            }
            else {
                this.refused++;
            }
            units += REQUEST_UNITS;
        }
    }

    // Runs for a time with a constant rate of requested units a second.
    run(milliseconds: number, requestedPerSecond: number, at?: (name: string) => boolean): void {
        for (const end = this.now + milliseconds; this.now < end;) {
            this.step(requestedPerSecond * STEP_MILLISECONDS / 1_000, at);
        }
    }

    largestUsageInAWindow(): number {
        let largest = 0;
        let sum = 0;
        let first = 0;
        for (const { at, units } of this.admitted) {
            sum += units;
            while ((this.admitted[first]?.at ?? at) <= at - WINDOW_MILLISECONDS) {
                sum -= this.admitted[first++]?.units ?? 0;
            }
            largest = Math.max(largest, sum);
        }
        return largest;
    }

    #runs(name: string): boolean {
        const node = this.nodes.get(name);
        return node !== undefined && node.frozenUntil <= this.now;
    }

    #send(from: string, to: string, method: string, params: object): void {
        if (this.connected(from, to) && this.nodes.has(to)) {
            const copy = structuredClone(params);
            const deliver = () => this.nodes.get(to)?.receive(method, copy);
            this.#messages.push({ from, to, dueAt: this.now + STEP_MILLISECONDS, deliver });
        }
    }
}

const PERMITTED = LIMIT * (1 + EXCESS) + SLACK;

test.each([[24, 5], [72, 3], [195, 5]])("%i instances in %i domains use the limit and keep to it", (count, domains) => {
    const fleet = new ScriptedFleet(new RandomSource(5), count, domains);
    fleet.run(4_000, RATE * 0.5);
    fleet.run(16_000, RATE * 4);
    expect(fleet.largestUsageInAWindow()).toBeLessThanOrEqual(PERMITTED);
    expect(fleet.largestUsageInAWindow()).toBeGreaterThan(LIMIT);
});

test("an organisation below its limit is never refused, wherever its callers are", () => {
    const fleet = new ScriptedFleet(new RandomSource(6), 195, 5);
    // All callers of the organisation reach two instances of one failure domain.
    const reached = (name: string) => name === "instance-0" || name === "instance-5";
    fleet.run(3_000, 0);
    fleet.run(16_000, RATE * 0.9, reached);
    expect(fleet.refused).toBe(0);
});

test("domains that cannot reach each other together keep to the limit while a third reaches both", () => {
    const fleet = new ScriptedFleet(new RandomSource(7), 72, 3);
    fleet.run(4_000, RATE * 0.5);
    const domainOf = (name: string) => Number(name.slice("instance-".length)) % 3;
    fleet.connected = (from, to) => domainOf(from) + domainOf(to) !== 1;
    fleet.run(14_000, RATE * 4);
    fleet.connected = () => true;
    fleet.run(6_000, RATE * 4);
    expect(fleet.largestUsageInAWindow()).toBeLessThanOrEqual(PERMITTED);
});

test("a whole cell that is killed has its usage counted by the others, and the new one keeps to the limit", () => {
    const fleet = new ScriptedFleet(new RandomSource(8), 72, 3);
    fleet.run(4_000, RATE * 0.5);
    const killed = new Set([...fleet.nodes.get("instance-0")?.members.partition.cells[0]?.members ?? []]);
    // Only the callers of the cell that is about to be killed use the limit.
    fleet.run(4_000, RATE * 2, name => killed.has(name));
    killed.forEach(name => fleet.kill(name));
    fleet.run(1_000, RATE * 4);
    killed.forEach(name => fleet.start(name, `domain-${Number(name.slice("instance-".length)) % 3}`, false));
    fleet.run(12_000, RATE * 2, name => killed.has(name));
    expect(fleet.largestUsageInAWindow()).toBeLessThanOrEqual(PERMITTED);
});

test.each([11, 12, 13, 14, 15, 16])(
    "random kills, freezes and cuts never exceed the limit by more than the bound (seed %i)",
    seed => {
        const random = new RandomSource(seed);
        const fleet = new ScriptedFleet(random, 72, 3);
        fleet.run(4_000, RATE * 0.5);
        const domainOf = (name: string) => Number(name.slice("instance-".length)) % 3;
        for (let round = 0; round < 6; round++) {
            const names = [...fleet.nodes.keys()];
            const action = random.integer(0, 3);
            if (action === 0) {
                const victims = names.filter(() => random.next() < 0.3);
                victims.forEach(name => fleet.kill(name));
                fleet.run(random.integer(200, 1_500), RATE * 4);
                victims.forEach(name => fleet.start(name, `domain-${domainOf(name)}`, false));
            }
            else if (action === 1) {
                names.filter(() => random.next() < 0.2).forEach(name => fleet.freeze(name, random.integer(500, 5_000)));
            }
            else if (action === 2) {
                const [left, right] = [random.integer(0, 2), random.integer(0, 2)];
                fleet.connected = (from, to) => !(domainOf(from) === left && domainOf(to) === right);
            }
            else {
                fleet.connected = () => true;
            }
            fleet.run(random.integer(500, 3_000), RATE * 3);
        }
        expect(fleet.largestUsageInAWindow()).toBeLessThanOrEqual(PERMITTED);
        expect(fleet.admitted.length * REQUEST_UNITS).toBeGreaterThan(LIMIT);
    },
);
