import * as z from "zod";

const address = z.string().regex(
    /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/,
    'expected an IP number and a port, such as "127.0.0.1:8080"',
);
const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "expected lower-case letters, digits and hyphens");
const milliseconds = z.int().min(0).max(3_600_000);

const drain = z.strictObject({
    /** Milliseconds during which a leaving instance still accepts, until the balancer stops sending. */
    graceMilliseconds: milliseconds.default(5_000),
    /** Longest time in milliseconds that streams under way may take to end. */
    limitMilliseconds: milliseconds.default(600_000),
});

const callers = z.strictObject({
    /** Largest request body in bytes. */
    maximumBodyBytes: z.int().min(1_024).max(64 * 1_024 * 1_024).default(4 * 1_024 * 1_024),
    /** Largest total of request headers in bytes. */
    maximumHeaderBytes: z.int().min(1_024).max(256 * 1_024).default(16 * 1_024),
    /** Open connections above which new ones are refused. */
    maximumConnections: z.int().min(1).max(100_000).default(10_000),
    /** Milliseconds in which a caller must have sent its request. */
    requestTimeoutMilliseconds: milliseconds.default(30_000),
});

const tls = z.strictObject({
    certificateFile: z.string().min(1),
    keyFile: z.string().min(1),
});

/** Schema of the settings file of an instance. */
export const settingsSchema = z.strictObject({
    /** Name of the instance, unique in the fleet. */
    name,
    /** Failure domain that the instance runs in. */
    failureDomain: name,
    /** Address for callers. */
    callersAddress: address,
    /** Address for other instances and operators. */
    instancesAddress: address,
    /** Address to listen at, if other instances reach this one by another. */
    instancesListenAddress: address.optional(),
    /** Address of the platform's key-value service. */
    storeAddress: address,
    /** Address of the platform's instance list. */
    instanceListAddress: address,
    /** File with the secret shared by all instances and operators. */
    secretFile: z.string().min(1),
    /** Certificate and key for callers. */
    tls: tls.optional(),
    callers: callers.default(() => callers.parse({})),
    drain: drain.default(() => drain.parse({})),
    /** Policy that places requests on backend servers. */
    policy: z.enum(["today", "round-robin", "least-loaded"]).default("today"),
    /** Whether a violated invariant ends the process. */
    stopOnViolation: z.boolean().default(false),
});
