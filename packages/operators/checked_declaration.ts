import type { Declaration } from "../configuration/mod.ts";
import type { Finding } from "../configuration_checks/mod.ts";

/** A valid declaration. */
export interface CheckedDeclaration {
    declaration: Declaration;
    /** One line for each entry that has no effect, and for each limit that contradicts another. */
    warnings: string[];
    /** Formats a problem of the declaration as a line with its place in the file. */
    formatFinding: (finding: Finding) => string;
}
