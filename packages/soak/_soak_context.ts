import type { Fleet } from "../harness/mod.ts";
import type { RandomSource } from "../randomness/mod.ts";
import type { TrafficGenerator } from "./_traffic_generator.ts";

/** Period in which backend servers must not receive new work. Times are wall-clock times in milliseconds. */
interface DrainPeriod {
    servers: string[];
    from: number;
    to: number;
}

/** Dependencies of the faults, and what the faults record for the checks at the end. */
export interface SoakContext {
    fleet: Fleet;
    traffic: TrafficGenerator;
    random: RandomSource;
    /** Indexes of the instances that a fault currently affects. */
    faultyInstances: Set<number>;
    /** Periods of shutdowns, by instance, during which no other fault affected the instance. */
    shutdowns: { index: number; from: number; to: number; }[];
    /** Periods in which a drain was in force. */
    drains: DrainPeriod[];
    /** Periods in which the revocation of an API key was in force. */
    withdrawals: { organisation: string; key: string; from: number; to: number; }[];
    /** API key that callers currently use, by organisation. */
    keys: Map<string, string>;
    /** Configuration changes that were stored. */
    storedChanges: { version: number; at: number; }[];
    /** Races of two operators that changed the same version: how many changes were stored in each. */
    races: number[];
}
