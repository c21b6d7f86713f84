import type { Declaration } from "./declaration.ts";

/** Says which traffic may use which servers. */
export type Selector = Declaration["selectors"][string];
