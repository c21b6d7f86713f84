import type { Declaration } from "./declaration.ts";

/** Assigns servers, a priority and an output limit to requests, by organisation and model. */
export type Selector = Declaration["selectors"][string];
