import { expect, test } from "vitest";
import { mergeLeaving } from "./_merge_leaving.ts";
import { cellStateSchema } from "./cell_state_schema.ts";

// Guards against a summary that other cells reject, since each member of a cell reports the same leaving servers.
test("servers that several instances report are listed once, and no more than a message may hold", () => {
    const report = Array.from({ length: 900 }, (_, index): [string, number] => [`server-${index}`, 1]);
    const leaving = mergeLeaving(report, report, [["server-0", 2], ["other", 1]]);
    expect(leaving).toHaveLength(902);
    const others = report.map(([id]): [string, number] => [`other-${id}`, 1]);
    const state = { usage: [], stageLoads: {}, changing: [], gone: [], crashes: [] };
    expect(cellStateSchema.safeParse({ ...state, leaving: mergeLeaving(leaving, others) }).success).toBe(true);
    expect(cellStateSchema.parse(state).leaving).toEqual([]);
});
