import { type Declaration, declarationSchema } from "../configuration/mod.ts";
import type { EngineDescription } from "./engine_description.ts";

/** An engine or service with its address. */
interface AddressedServer {
    name: string;
    address: string;
    failureDomain: string;
}

/**
 * Builds the declaration of a fleet of stand-ins.
 *
 * @param failureDomains Names of the failure domains.
 * @param engines Engines with their addresses.
 * @param services Plain services with their addresses.
 * @param organisations Organisations.
 * @returns The declaration.
 * @example
 * ```ts
 * buildDeclaration(["domain-1"], [], [], {});
 * ```
 */
export function buildDeclaration(
    failureDomains: string[],
    engines: (EngineDescription & AddressedServer)[],
    services: AddressedServer[],
    organisations: Declaration["organisations"],
): Declaration {
    const backendServers: Record<string, object> = {};
    for (const { name, address, role, failureDomain, models, capacity } of engines) {
        backendServers[name] = { address, role, failureDomain, models: models ?? ["drafting"], capacity };
    }
    for (const { name, address, failureDomain } of services) {
        backendServers[name] = { address, role: "service", failureDomain, capacity: 100, labels: { kind: "orders" } };
    }
    return declarationSchema.parse({
        failureDomains: Object.fromEntries(failureDomains.map(name => [name, {}])),
        organisations,
        models: { drafting: { bytesPerToken: 4, tokensPerPiece: 4_000, contextTokens: 64_000 } },
        backendServers,
        routes: {
            orders: { path: "/v1/orders", kind: "once-only", servers: { kind: "orders" }, timeoutMilliseconds: 3_000 },
            status: { path: "/v1/status", kind: "idempotent", servers: { kind: "orders" }, timeoutMilliseconds: 3_000 },
            news: { path: "/v1/news", kind: "idempotent", open: true, servers: { kind: "orders" } },
        },
    });
}
