import type { StageWorkReport } from "./stage_work_report.ts";

type Sums = StageWorkReport[string];

/** Adds two lists of sums. */
export function addSums(left: Sums, right: Sums): Sums {
    const total: Sums = [...left];
    right.forEach((sum, index) => total[index as 0] += sum);
    return total;
}
