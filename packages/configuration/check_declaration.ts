import type { Declaration } from "./declaration.ts";

/** Problems of a declaration that its schema cannot detect. */
interface Findings {
    errors: { path: string; message: string; }[];
    warnings: { path: string; message: string; }[];
}

/** Shortest time, at the organisation's rate, that its burst must cover. */
const MINIMUM_BURST_SECONDS = 2;

/**
 * Checks a declaration for what its schema cannot express, such as references between entries.
 *
 * @param declaration A declaration that is valid against its schema.
 * @returns Errors, and warnings about entries that have no effect.
 * @example
 * ```ts
 * checkDeclaration(declaration).errors; // [{ path: "backendServers.a.failureDomain", message: "..." }]
 * ```
 */
export function checkDeclaration(declaration: Declaration): Findings {
    const findings: Findings = { errors: [], warnings: [] };
    checkServers(declaration, findings);
    checkOrganisations(declaration, findings);
    checkSelectors(declaration, findings);
    checkRoutes(declaration, findings);
    return findings;
}

function checkServers(declaration: Declaration, findings: Findings): void {
    const nameByAddress = new Map<string, string>();
    for (const [name, server] of Object.entries(declaration.backendServers)) {
        const path = `backendServers.${name}`;
        const existing = nameByAddress.get(server.address);
        if (existing !== undefined) {
            findings.errors.push({ path: `${path}.address`, message: `address is already used by ${existing}` });
        }
        nameByAddress.set(server.address, name);
        if (!(server.failureDomain in declaration.failureDomains)) {
            findings.errors.push({ path: `${path}.failureDomain`, message: "failure domain is not declared" });
        }
        for (const model of server.models) {
            if (!(model in declaration.models)) {
                findings.errors.push({ path: `${path}.models`, message: `model ${model} is not declared` });
            }
        }
    }
}

function checkOrganisations(declaration: Declaration, findings: Findings): void {
    for (const [name, organisation] of Object.entries(declaration.organisations)) {
        const minimum = organisation.tokensPerSecond * MINIMUM_BURST_SECONDS;
        if (organisation.burstTokens < minimum) {
            findings.errors.push({
                path: `organisations.${name}.burstTokens`,
                message: `expected at least ${minimum}, which is ${MINIMUM_BURST_SECONDS} s of the rate`,
            });
        }
    }
}

function checkSelectors(declaration: Declaration, findings: Findings): void {
    const organisations = Object.values(declaration.organisations);
    const servers = Object.values(declaration.backendServers);
    for (const [name, selector] of Object.entries(declaration.selectors)) {
        const path = `selectors.${name}`;
        if (!organisations.some(organisation => hasLabels(organisation.labels, selector.organisations))) {
            findings.warnings.push({ path, message: "selector matches no organisation" });
        }
        if (!servers.some(server => server.role !== "service" && hasLabels(server.labels, selector.servers))) {
            findings.warnings.push({ path, message: "selector matches no backend server" });
        }
        for (const model of selector.models) {
            if (!(model in declaration.models)) {
                findings.errors.push({ path: `${path}.models`, message: `model ${model} is not declared` });
            }
        }
    }
}

function checkRoutes(declaration: Declaration, findings: Findings): void {
    const nameByPath = new Map<string, string>();
    const servers = Object.values(declaration.backendServers);
    for (const [name, route] of Object.entries(declaration.routes)) {
        const path = `routes.${name}`;
        const existing = nameByPath.get(route.path);
        if (existing !== undefined) {
            findings.errors.push({ path: `${path}.path`, message: `path is already used by ${existing}` });
        }
        nameByPath.set(route.path, name);
        if (!servers.some(server => server.role === "service" && hasLabels(server.labels, route.servers))) {
            findings.warnings.push({ path, message: "route matches no backend server" });
        }
    }
}

function hasLabels(labels: Record<string, string>, required: Record<string, string>): boolean {
    return Object.entries(required).every(([key, value]) => labels[key] === value);
}
