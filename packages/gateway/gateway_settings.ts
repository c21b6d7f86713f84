import type * as z from "zod";
import type { gatewaySettingsSchema } from "./gateway_settings_schema.ts";

/** Validated settings of an instance behind the platform's load balancer. */
export type GatewaySettings = z.infer<typeof gatewaySettingsSchema>;
