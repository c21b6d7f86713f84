import type { Declaration } from "./declaration.ts";

/** A model engine or plain service that requests are routed to. */
export type BackendServer = Declaration["backendServers"][string];
