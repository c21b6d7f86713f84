import * as z from "zod";
import { addressSchema } from "../instances/mod.ts";
import { memoryMegabytes } from "./memory_megabytes.ts";

const milliseconds = z.number().min(0).max(3_600_000);
const ratio = z.number().min(0).max(1_000);

/** Limits that all instances keep together; the platform's documentation defines each of them. */
const bounds = z.object({
    /** Time from the shutdown signal until the process is killed. */
    graceSeconds: z.number().min(0).max(3_600).default(8),
    /** Time after a server has said that it leaves, from which it must get no request. */
    drainMilliseconds: milliseconds.default(2_000),
    /** Time within which a revoked API key must stop working. */
    revokeMilliseconds: milliseconds.default(5_000),
    /** Whether API keys are refused while their validity cannot be confirmed. */
    failClosed: z.boolean().default(false),
    /** Retries allowed per request to a service. */
    retryRatio: ratio.default(0.2),
    retryWindowSeconds: z.number().min(1).max(3_600).default(10),
    /** Retries allowed per window in addition. */
    retrySlack: z.number().min(0).default(0),
    quotaWindowSeconds: z.number().min(1).max(3_600).default(8),
    /** Fraction of an organisation's limit by which it may be exceeded. */
    quotaExcess: ratio.default(0),
    /** Units by which an organisation's limit may be exceeded in addition. */
    quotaSlack: z.number().min(0).default(0),
    /** Fraction of a service's requests that a version under trial may get. */
    exposureShare: z.number().min(0).max(1).default(0.1),
    /** Requests that a version under trial may get in addition, over all instances. */
    exposureSlack: z.number().min(0).default(0),
    /** Shortest time between the orders of two leaders to the same server. */
    leaseMilliseconds: milliseconds.default(3_000),
    /** Whether engines refuse orders with an outdated fencing token. */
    fenceChecked: z.boolean().default(false),
});

/** Schema of the settings of an instance behind the platform's load balancer. */
export const gatewaySettingsSchema = z.strictObject({
    /** Name of the instance, unique in the fleet. */
    name: z.string().min(1).max(128),
    /** Failure domain that the instance runs in. */
    failureDomain: z.string().min(1).max(128),
    /** Address for callers. */
    callersAddress: addressSchema,
    /** Address of the load balancer's readiness check. */
    readinessAddress: addressSchema,
    /** Address for other instances. */
    instancesAddress: addressSchema,
    /** Address that serves counters and histograms; without it, they are not served. */
    metricsAddress: addressSchema.optional(),
    /** Addresses of instances to query before the store has responded. */
    seedAddresses: z.array(addressSchema).default([]),
    /** IP address from which connections to backend servers are opened; without it, the system chooses one. */
    backendSourceAddress: z.union([z.ipv4(), z.ipv6()]).optional(),
    /** Address of the platform's key-value store. */
    storeAddress: addressSchema,
    /** Whether the whole fleet starts for the first time. */
    firstStart: z.boolean().default(false),
    /** Longest pause that a server may ask for; a longer one counts as this long. */
    maximumPauseMilliseconds: milliseconds.default(300_000),
    /** Whether requests are ordered by urgency over all instances where a service's requests have several urgencies. */
    fleetUrgency: z.boolean().default(false),
    /** Whether a prompt goes to an engine that is expected to keep its beginning where that saves more than the wait costs. */
    promptMemory: z.boolean().default(false),
    /** Whether the speed of each engine is learned and bears on the choice of engines and on their division into stages. */
    engineSpeeds: z.boolean().default(false),
    /** Whether engines are divided into stages by the measured engine time of prefills and runs. */
    measuredStages: z.boolean().default(false),
    /** Memory limit of the process. */
    memoryMegabytes: z.number().min(memoryMegabytes.least).default(memoryMegabytes.default),
    /** Limit of the process's file descriptors, files included; without it, the limit that the system has set. */
    maximumDescriptors: z.int().min(64).max(10_000_000).optional(),
    bounds: bounds.default(() => bounds.parse({})),
});
