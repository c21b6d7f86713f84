import * as z from "zod";
import type { ConfigurationChange } from "./configuration_change.ts";

const operation = z.object({
    collection: z.enum([
        "failureDomains",
        "organisations",
        "models",
        "backendServers",
        "selectors",
        "routes",
        "keys",
        "drainedServers",
        "drainedDomains",
    ]),
    name: z.string(),
    value: z.unknown().optional(),
});

/** Schema of a change that is received from the store, another instance or an operator. */
export const configurationChangeSchema: z.ZodType<ConfigurationChange> = z.object({
    version: z.int().min(0),
    attempt: z.string().max(64),
    operations: z.array(operation).max(100_000),
}) as unknown as z.ZodType<ConfigurationChange>;
