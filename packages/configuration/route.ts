import type { Declaration } from "./declaration.ts";

/** A path served by plain services. */
export type Route = Declaration["routes"][string];
