import * as z from "zod";
import { addressSchema } from "../instances/mod.ts";

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "expected lower-case letters, digits and hyphens");
const milliseconds = z.int().min(0).max(3_600_000);

const drain = z.strictObject({
    /** Milliseconds for which a leaving instance still accepts requests, until the load balancer stops sending. */
    graceMilliseconds: milliseconds.default(5_000),
    /** Time limit in milliseconds for the requests in progress to end. */
    limitMilliseconds: milliseconds.default(600_000),
});

const callers = z.strictObject({
    /** Largest request body in bytes. */
    maximumBodyBytes: z.int().min(1_024).max(64 * 1_024 * 1_024).default(4 * 1_024 * 1_024),
    /** Largest total of request headers in bytes. */
    maximumHeaderBytes: z.int().min(1_024).max(256 * 1_024).default(16 * 1_024),
    /** Maximum number of open connections, if the process has descriptors for them; further ones are refused. */
    maximumConnections: z.int().min(1).max(100_000).default(10_000),
    /** Time limit in milliseconds for a caller to send its whole request. */
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
    /** Address at which the instance listens for callers. */
    callersAddress: addressSchema,
    /** Address at which other instances and operators reach this one. */
    instancesAddress: addressSchema,
    /** Address at which the instance listens for instances and operators, if it differs from `instancesAddress`. */
    instancesListenAddress: addressSchema.optional(),
    /** Address of the platform's key-value service. */
    storeAddress: addressSchema,
    /** Address of the platform's instance list. */
    instanceListAddress: addressSchema,
    /** File that contains the secret shared by all instances and operators. */
    secretFile: z.string().min(1),
    /** Certificate and private key for TLS connections of callers; without them callers use plain HTTP. */
    tls: tls.optional(),
    /** Memory limit of the process in megabytes of 1,048,576 bytes; without it, the limit that the system has set. */
    memoryMegabytes: z.int().min(100).max(1_048_576).optional(),
    /** Limit of the process's file descriptors; without it, the limit that the system has set. */
    maximumDescriptors: z.int().min(64).max(10_000_000).optional(),
    callers: callers.default(() => callers.parse({})),
    drain: drain.default(() => drain.parse({})),
    /** Policy by which requests are placed on backend servers; `"today"` prefers the lowest estimated cost. */
    policy: z.enum(["today", "round-robin", "least-loaded"]).default("today"),
    /** Whether the process exits when an invariant is violated or an error is caught by nobody. */
    stopOnViolation: z.boolean().default(false),
});
