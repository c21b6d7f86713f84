import type { PromptPartReport } from "./prompt_part_report.ts";

/**
 * Creates a report without entries.
 *
 * @returns The report.
 * @example
 * ```ts
 * const merged = createEmptyReport();
 * ```
 */
export function createEmptyReport(): PromptPartReport {
    return { crashes: [], blocked: [], cleared: [] };
}
