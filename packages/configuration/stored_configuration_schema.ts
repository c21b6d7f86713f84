import * as z from "zod";
import { configurationChangeSchema } from "./configuration_change_schema.ts";
import { declarationSchema } from "./declaration_schema.ts";
import type { StoredConfiguration } from "./stored_configuration.ts";

const drained = z.record(z.string(), z.strictObject({ since: z.string() }));

const document = declarationSchema.extend({
    keys: z.record(z.string(), z.strictObject({ organisation: z.string(), label: z.string() })),
    drainedServers: drained,
    drainedDomains: drained,
});

/** Schema of a configuration that is received from the store or another instance. */
export const storedConfigurationSchema: z.ZodType<StoredConfiguration> = z.object({
    version: z.int().min(0),
    document,
    recent: z.array(configurationChangeSchema),
    era: z.int().min(0).optional(),
}) as unknown as z.ZodType<StoredConfiguration>;
