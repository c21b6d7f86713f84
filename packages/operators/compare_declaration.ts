import { applyOperations, type ConfigurationDocument, diffDocuments } from "../configuration/mod.ts";
import {
    describeDifferences,
    type Difference,
    findContradictoryLimits,
    findIgnoredOrder,
    findOrganisationsWithoutKeys,
    findUnusedEntries,
} from "../configuration_checks/mod.ts";
import type { CheckedDeclaration } from "./checked_declaration.ts";

/** What applying a declaration would change. */
interface Comparison {
    /** One line for each entry that would have no effect. */
    warnings: string[];
    differences: Difference[];
}

/**
 * Compares a declaration with a configuration, as `apply` would change it.
 *
 * @param checked The declaration.
 * @param current The configuration in force, or another one to compare with.
 * @returns Warnings about the configuration after the change, and what differs.
 * @example
 * ```ts
 * const { differences } = compareDeclaration(checked, current.document);
 * ```
 */
export function compareDeclaration(checked: CheckedDeclaration, current: ConfigurationDocument): Comparison {
    const applied = applyOperations(current, diffDocuments(current, checked.declaration));
    const findings = [
        ...findIgnoredOrder(checked.declaration, applied),
        ...findUnusedEntries(applied),
        ...findContradictoryLimits(applied),
        ...Object.keys(current.keys).length > 0 ? findOrganisationsWithoutKeys(applied) : [],
    ];
    const warnings = new Set([...checked.warnings, ...findings.map(checked.formatFinding)]);
    return { warnings: [...warnings], differences: describeDifferences(current, applied) };
}
