import type { Fleet } from "../harness/mod.ts";
import type { RandomSource } from "../randomness/mod.ts";
import type { TrafficGenerator } from "./_traffic_generator.ts";

/** A time in which a back end must not get new work. */
interface DrainPeriod {
    servers: string[];
    from: number;
    to: number;
}

/** What faults work with, and what they note for the checks at the end. */
export interface SoakContext {
    fleet: Fleet;
    traffic: TrafficGenerator;
    random: RandomSource;
    /** Instances that a fault holds at the moment. */
    disturbed: Set<number>;
    /** Times, with the instance, in which a shutdown ran its course without another fault at the instance. */
    shutdowns: { index: number; from: number; to: number; }[];
    /** Times in which a drain was in force. */
    drains: DrainPeriod[];
    /** Times, by key, in which a withdrawal was in force. */
    withdrawals: { organisation: string; key: string; from: number; to: number; }[];
    /** Key used for an organisation at the moment, by organisation. */
    keys: Map<string, string>;
    /** Changes of the configuration that were stored. */
    accepted: { version: number; at: number; }[];
    /** Changes that two operators made for the same version at once: how many were stored. */
    races: number[];
}
