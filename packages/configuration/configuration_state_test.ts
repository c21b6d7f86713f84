import fc from "fast-check";
import { expect, test } from "vitest";
import { Invariants } from "../invariants/mod.ts";
import { Metrics } from "../metrics/mod.ts";
import { applyOperations, type ConfigurationChange, ConfigurationState, diffDocuments, emptyDocument } from "./mod.ts";

const noopLogger = { info: () => {}, warn: () => {}, error: () => {} };

function createState(): ConfigurationState {
    return new ConfigurationState(new Invariants(new Metrics(), noopLogger, false));
}

/** Creates a history of changes, of which the tests deliver parts. */
function createHistory(length: number): ConfigurationChange[] {
    return Array.from({ length }, (_, index) => ({
        version: index + 1,
        attempt: `attempt-${index}`,
        operations: [{
            collection: "drainedServers",
            name: `server-${index % 5}`,
            ...(index % 3 === 0 ? {} : { value: { since: String(index) } }),
        }],
    }));
}

function documentAt(history: ConfigurationChange[], version: number) {
    return history
        .filter(change => change.version <= version)
        .reduce((document, change) => applyOperations(document, change.operations), emptyDocument());
}

test("for any parts of the history in any order, the version never decreases and the document matches it", () => {
    const history = createHistory(100);
    const update = fc.record({ whole: fc.boolean(), from: fc.nat(100), length: fc.nat(20) });
    let increases = 0;
    fc.assert(
        fc.property(fc.array(update, { maxLength: 40 }), updates => {
            const state = createState();
            for (const { whole, from, length } of updates) {
                const before = state.version;
                if (whole) {
                    const recent = history.slice(Math.max(0, from - 10), from);
                    state.applySnapshot({ version: from, document: documentAt(history, from), recent });
                }
                else {
                    state.applyChanges(history.slice(from, from + length));
                }
                expect(state.version).toBeGreaterThanOrEqual(before);
                expect(state.document).toEqual(documentAt(history, state.version));
                increases += state.version > before ? 1 : 0;
                const since = state.changesSince(before);
                expect(since === undefined || since.length === state.version - before).toBe(true);
            }
        }),
        { seed: 5, numRuns: 300 },
    );
    expect(increases).toBeGreaterThan(200);
});

test("a confirmation of another version does not confirm the one in force", () => {
    const state = createState();
    state.applySnapshot({ version: 3, document: emptyDocument(), recent: [] });
    state.confirmLatest(2, 0);
    expect(state.ageMilliseconds).toBe(Number.POSITIVE_INFINITY);
    state.confirmLatest(3, 10);
    expect(state.ageMilliseconds).toBeLessThan(Number.POSITIVE_INFINITY);
});

test("applying the difference of two documents to the first results in the second", () => {
    const history = createHistory(30);
    const [before, after] = [documentAt(history, 10), documentAt(history, 30)];
    expect(applyOperations(before, diffDocuments(before, after))).toEqual(after);
    expect(diffDocuments(after, after)).toEqual([]);
});
