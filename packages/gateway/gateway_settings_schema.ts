import * as z from "zod";

const address = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, "expected an IP number and a port");
const milliseconds = z.number().min(0).max(3_600_000);
const ratio = z.number().min(0).max(1_000);

/** Agreed limits on what all instances together may do; the platform's pages define each. */
const bounds = z.object({
    /** Time in which a leaving server's last new request must arrive. */
    drainMilliseconds: milliseconds.default(2_000),
    /** Time between the signal to stop and the kill. */
    graceSeconds: z.number().min(0).max(3_600).default(8),
    /** Time in which a withdrawn key must stop working. */
    revokeMilliseconds: milliseconds.default(5_000),
    /** Whether keys are refused when their validity cannot be confirmed. */
    failClosed: z.boolean().default(false),
    /** Retries allowed for each request to a service. */
    retryRatio: ratio.default(0.2),
    retryWindowSeconds: z.number().min(1).max(3_600).default(10),
    /** Retries allowed in each window besides. */
    retrySlack: z.number().min(0).default(0),
    quotaWindowSeconds: z.number().min(1).max(3_600).default(8),
    /** Part of an organisation's limit by which it may be exceeded. */
    quotaExcess: ratio.default(0),
    /** Units by which an organisation's limit may be exceeded besides. */
    quotaSlack: z.number().min(0).default(0),
    /** Factor on what a cold server bears each second. */
    coldExcess: ratio.default(1),
    /** Requests a second that a cold server may get besides. */
    coldSlack: z.number().min(0).default(0),
    /** Shortest time between orders of two holders to one server. */
    leaseMilliseconds: milliseconds.default(3_000),
    /** Whether engines refuse orders with an old fencing number. */
    fenceChecked: z.boolean().default(false),
});

/** Schema of the settings of an instance behind the platform's balancer. */
export const gatewaySettingsSchema = z.strictObject({
    /** Name of the instance, unique in the fleet. */
    name: z.string().min(1).max(128),
    /** Failure domain that the instance runs in. */
    failureDomain: z.string().min(1).max(128),
    /** Address for callers. */
    callersAddress: address,
    /** Address at which the balancer asks whether the instance is ready. */
    readinessAddress: address,
    /** Address for other instances. */
    instancesAddress: address,
    /** Address that serves counters and histograms. */
    metricsAddress: address,
    /** Addresses of instances that may be asked before the store has answered. */
    seedAddresses: z.array(address).default([]),
    /** Address of the platform's key-value store. */
    storeAddress: address,
    /** Whether the whole fleet starts for the first time. */
    firstStart: z.boolean().default(false),
    /** Memory that the process may use. */
    memoryMegabytes: z.number().min(16),
    bounds: bounds.default(() => bounds.parse({})),
});
