import type { Declaration } from "./declaration.ts";

/** An organisation whose traffic is limited. */
export type Organisation = Declaration["organisations"][string];
