import { expect, test } from "vitest";
import { createEmptyReport } from "./create_empty_report.ts";
import { mergePromptPartReports } from "./merge_prompt_part_reports.ts";

// Guards against the loss of a cell's news among repetitions of what all cells know.
test("merged reports keep a crash that only the last cell knows", () => {
    const known = Array.from({ length: 45 }, (_, index) => (
        { server: "a", startedAt: 1, aliveAge: 5_000 + index, endedAge: 4_000, parts: [`part-${index}`] }
    ));
    const news = { server: "b", startedAt: 1, aliveAge: 200, endedAge: 100, parts: ["deadly"] };
    const merged = createEmptyReport();
    for (let cell = 0; cell < 6; cell++) {
        mergePromptPartReports(merged, { ...createEmptyReport(), crashes: known }, 0);
    }
    mergePromptPartReports(merged, { ...createEmptyReport(), crashes: [...known, news] }, 0);
    expect(merged.crashes.some(({ server }) => server === "b")).toBe(true);
});
