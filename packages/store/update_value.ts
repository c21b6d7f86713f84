import { err, ok, type Result } from "neverthrow";
import { monotonicMilliseconds, sleep } from "../clocks/mod.ts";
import type { Store } from "./store.ts";
import { StoreFailure } from "./store_failure.ts";
import type { StoredValue } from "./stored_value.ts";

const FIRST_DELAY_MILLISECONDS = 20;
const LONGEST_DELAY_MILLISECONDS = 500;

/** What an update function wants done with the value it was given. */
type Decision<Value> = { kind: "write"; value: Value; } | { kind: "done"; };

/**
 * Changes a value by compare-and-swap until the change stands, is no longer wanted, or the deadline passes.
 *
 * A write whose answer was lost is sent again with the same expected revision, so that it takes effect at most once;
 * `decide` sees the value that stands and must recognise its own earlier write (by an attempt id in the value).
 *
 * @param store The store.
 * @param key Key of the value.
 * @param start The value last read, if any; it saves one read.
 * @param deadlineMilliseconds Time allowed in milliseconds.
 * @param decide Maps the present value to the next one, or says that nothing is left to do.
 * @returns The value that stands; a failure with `"not-run"` only if no write can have taken effect.
 * @example
 * ```ts
 * await updateValue(store, "counter", undefined, 1_000, current =>
 *     ({ kind: "write", value: { count: ((current.value as { count: number }).count ?? 0) + 1 } }));
 * ```
 */
export async function updateValue<Value>(
    store: Store,
    key: string,
    start: StoredValue | undefined,
    deadlineMilliseconds: number,
    decide: (current: StoredValue) => Decision<Value>,
): Promise<Result<StoredValue, StoreFailure>> {
    const deadline = monotonicMilliseconds() + deadlineMilliseconds;
    let current = start;
    let writeMayBeUnderWay = false;
    let delay = FIRST_DELAY_MILLISECONDS;
    let lastMessage = "deadline passed";
    while (monotonicMilliseconds() < deadline) {
        if (!current) {
            const read = await store.read(key);
            if (read.isErr()) {
                lastMessage = read.error.message;
                await sleep(jitter(delay));
                delay = Math.min(delay * 2, LONGEST_DELAY_MILLISECONDS);
                continue;
            }
            current = read.value;
        }
        const decision = decide(current);
        if (decision.kind === "done") {
            return ok(current);
        }
        const written = await store.compareAndSwap(key, current.revision, decision.value);
        if (written.isErr()) {
            writeMayBeUnderWay ||= written.error.verdict === "may-have-run";
            lastMessage = written.error.message;
            current = undefined;
            await sleep(jitter(delay));
            delay = Math.min(delay * 2, LONGEST_DELAY_MILLISECONDS);
            continue;
        }
        if (written.value.kind === "stored") {
            return ok({ revision: written.value.revision, value: decision.value });
        }
        current = written.value.current;
    }
    const verdict = writeMayBeUnderWay ? "may-have-run" : "not-run";
    return err(new StoreFailure(verdict, `Cannot update ${key}: ${lastMessage}`));
}

function jitter(delay: number): number {
    return delay * (0.5 + Math.random());
}
