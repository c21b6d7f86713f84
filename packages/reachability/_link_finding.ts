import type { RegisteredServer } from "../directory/mod.ts";
import { chooseProbed } from "./_choose_probed.ts";
import { runProbeRound } from "./_probe_round.ts";
import type { ProbeResult } from "./probe_result.ts";
import type { ReachabilityMonitorOptions } from "./reachability_monitor_options.ts";

/** Number of servers probed together after the first one has not answered. */
const FURTHER_PROBES = 7;
/** Number of registered servers below which nothing is concluded. */
const LEAST_SERVERS = 2;
/** Number of tries of a finding in which the process stands still. */
const MAXIMUM_TRIES = 3;
const MAXIMUM_SUSPECTS = 32;

/** What the monitor knows of the answers of servers. */
interface LinkFindingOptions extends ReachabilityMonitorOptions {
    /** Time of the last answer of a server; negative infinity if there was none. */
    answeredAt(id: string): number;
    /** Time of the last answer of any server. */
    lastAnswerAt(): number;
    random(): number;
}

/** Finds out whether this instance is isolated, once something has made the links suspect. */
export class LinkFinding {
    /** What made the links suspect, by id of the server. */
    readonly suspects: Map<string, string>;
    /** Results of the probes by id of the server. */
    results: ReadonlyMap<string, ProbeResult> = new Map();

    constructor(
        private readonly options: LinkFindingOptions,
        suspects: ReadonlyMap<string, string>,
        readonly startedAt = options.clock.now(),
    ) {
        this.suspects = new Map(suspects);
    }

    /** Adds a cause that came after the start. */
    addSuspect(server: string, cause: string): void {
        if (this.suspects.size < MAXIMUM_SUSPECTS) {
            this.suspects.set(server, cause);
        }
    }

    /** Returns whether the instance is isolated. */
    async run(): Promise<boolean> {
        for (let tries = 0; tries < MAXIMUM_TRIES; tries++) {
            const servers = this.options.servers();
            if (servers.length < LEAST_SERVERS) {
                return false;
            }
            const isIsolated = await this.#try(servers);
            if (isIsolated !== undefined) {
                return isIsolated;
            }
        }
        return false;
    }

    /** Undefined if the process has stood still, so that nothing is shown. */
    async #try(servers: RegisteredServer[]): Promise<boolean | undefined> {
        const { clock, answeredAt, lastAnswerAt, random } = this.options;
        const since = clock.now();
        const choice = { servers, suspects: new Set(this.suspects.keys()), answeredAt, random };
        const probed = chooseProbed({ ...choice, count: 1, probed: [] });
        const first = await runProbeRound(probed, this.options);
        this.results = first.results;
        if (first.isAnswered || first.isStale) {
            return first.isAnswered ? false : undefined;
        }
        const further = chooseProbed({ ...choice, count: FURTHER_PROBES, probed });
        const second = await runProbeRound(further, this.options);
        this.results = new Map([...first.results, ...second.results]);
        if (second.isAnswered || second.isStale) {
            return second.isAnswered ? false : undefined;
        }
        const haveAllFailed = [...this.results.values()].every(result => result === "failed");
        // Busy servers are silent too, but others answer meanwhile.
        return haveAllFailed || lastAnswerAt() <= since;
    }
}
