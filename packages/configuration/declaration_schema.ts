import * as z from "zod";

const name = z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, "expected lower-case letters, digits, dots and hyphens");
const labels = z.record(name, z.string().max(128));
const address = z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, "expected an IP address and a port");
const MAXIMUM_TOKENS_PER_SECOND = 10_000_000;
const MAXIMUM_TOKENS = 100_000_000;

const organisation = z.strictObject({
    /** Rate limit in tokens per second over the whole fleet. */
    tokensPerSecond: z.number().positive().max(MAXIMUM_TOKENS_PER_SECOND),
    /** Burst size in tokens over the whole fleet. */
    burstTokens: z.int().positive().max(MAXIMUM_TOKENS),
    /** Weight in fair queueing among organisations that wait for the same server. */
    weight: z.number().positive().max(1_000).default(1),
    labels: labels.default({}),
});

const backendServer = z.strictObject({
    address,
    role: z.enum(["prefill", "decode", "service"]),
    failureDomain: name,
    /** Models that the server serves; only for prefill and decode. */
    models: z.array(name).max(64).default([]),
    labels: labels.default({}),
    /** Decode: memory in pieces, which are blocks of KV cache memory. Other roles: concurrent prefills or calls. */
    capacity: z.int().positive().max(100_000),
    /** Whether the server rejects orders with an outdated fencing token. */
    fencing: z.enum(["checked", "ignored"]).default("ignored"),
});

const model = z.strictObject({
    /** Bytes of UTF-8 text counted as one token. */
    bytesPerToken: z.number().positive().max(16).default(4),
    /** Tokens that fit in one piece of decode memory. */
    tokensPerPiece: z.int().positive().max(1_000_000).default(4_000),
    /** Maximum number of prompt and output tokens together. */
    contextTokens: z.int().positive().max(10_000_000),
});

const route = z.strictObject({
    /** Path at which callers reach the service. */
    path: z.string().regex(/^\/[A-Za-z0-9._~/-]*$/, 'expected a path such as "/v1/orders"'),
    /** `"idempotent"`: calls may be retried; `"once-only"`: a call runs at most once per idempotency key. */
    kind: z.enum(["idempotent", "once-only"]),
    /** Whether callers need no API key. */
    open: z.boolean().default(false),
    /** Labels of the services that serve the route. */
    servers: labels,
    /** Time limit in milliseconds for the service's response. */
    timeoutMilliseconds: z.int().min(1).max(600_000).default(30_000),
});

const selector = z.strictObject({
    /** Labels that an organisation must have; empty for all organisations. */
    organisations: labels.default({}),
    /** Models that the selector applies to; empty for all models. */
    models: z.array(name).max(64).default([]),
    /** Labels of the servers that the selected requests may use. */
    servers: labels.default({}),
    /** Priority; requests with the highest number run first. */
    priority: z.int().min(0).max(9).default(5),
    /** Largest `max_tokens` of a request. */
    maximumOutputTokens: z.int().positive().max(MAXIMUM_TOKENS).optional(),
});

/** Schema of the declaration file that operators keep in version control. */
export const declarationSchema = z.strictObject({
    failureDomains: z.record(name, z.strictObject({ labels: labels.default({}) })),
    organisations: z.record(name, organisation),
    models: z.record(name, model).default({}),
    backendServers: z.record(name, backendServer),
    selectors: z.record(name, selector).default({}),
    routes: z.record(name, route).default({}),
});
