import { err, ok, type Result } from "neverthrow";
import { monotonicMilliseconds, sleep } from "../clocks/mod.ts";
import { positionOf } from "../replica/mod.ts";
import type { Store } from "./store.ts";
import { StoreFailure } from "./store_failure.ts";
import type { StoredValue } from "./stored_value.ts";

const INITIAL_DELAY_MILLISECONDS = 20;
const MAXIMUM_DELAY_MILLISECONDS = 500;

/** Decision of an update function about the current value; after `"wait"` it is read again. */
type Decision<Value> = { kind: "write"; value: Value; } | { kind: "done"; } | { kind: "wait"; reason: string; };

/**
 * Updates a value by compare-and-swap; retries until a write succeeds, `decide` returns `"done"` or the time limit
 * is reached.
 *
 * After a write whose response was lost, the value is read again. If the write has not arrived yet, the retry expects
 * the same revision, so that only one of the two takes effect. If it has arrived, `decide` gets the value it wrote; it
 * must recognise this value, for example by an attempt id in it, and return `"done"`.
 *
 * @param store The store.
 * @param key Key of the value.
 * @param initial Value to start from, if one was read before; it saves one read.
 * @param timeoutMilliseconds Time limit in milliseconds; no attempt begins after it.
 * @param decide Returns the value to write in place of the current one; or `"done"` if no write is needed, or `"wait"`
 * if it cannot be decided yet.
 * @returns The value now stored; or a failure, with the verdict `"not-run"` only if no write can have taken effect.
 * @example
 * ```ts
 * await updateValue(store, "counter", undefined, 1_000, current =>
 *     ({ kind: "write", value: { count: ((current.value as { count: number }).count ?? 0) + 1 } }));
 * ```
 */
export async function updateValue<Value>(
    store: Store,
    key: string,
    initial: StoredValue | undefined,
    timeoutMilliseconds: number,
    decide: (current: StoredValue) => Decision<Value> | Promise<Decision<Value>>,
): Promise<Result<StoredValue, StoreFailure>> {
    const deadline = monotonicMilliseconds() + timeoutMilliseconds;
    let current = initial;
    let writeMayHaveRun = false;
    let delay = INITIAL_DELAY_MILLISECONDS;
    let lastMessage = "deadline passed";
    while (monotonicMilliseconds() < deadline) {
        if (!current) {
            const read = await store.read(key);
            if (read.isErr()) {
                lastMessage = read.error.message;
                await sleep(jitter(delay));
                delay = Math.min(delay * 2, MAXIMUM_DELAY_MILLISECONDS);
                continue;
            }
            current = read.value;
        }
        const decision = await decide(current);
        if (decision.kind === "done") {
            return ok(current);
        }
        if (decision.kind === "wait") {
            lastMessage = decision.reason;
            current = undefined;
            await sleep(jitter(delay));
            delay = Math.min(delay * 2, MAXIMUM_DELAY_MILLISECONDS);
            continue;
        }
        const written = await store.compareAndSwap(key, positionOf(current), decision.value);
        if (written.isErr()) {
            writeMayHaveRun ||= written.error.verdict === "may-have-run";
            lastMessage = written.error.message;
            current = undefined;
            await sleep(jitter(delay));
            delay = Math.min(delay * 2, MAXIMUM_DELAY_MILLISECONDS);
            continue;
        }
        if (written.value.kind === "stored") {
            return ok({ ...written.value.position, value: decision.value });
        }
        current = written.value.current;
    }
    const verdict = writeMayHaveRun ? "may-have-run" : "not-run";
    return err(new StoreFailure(verdict, `Cannot update ${key}: ${lastMessage}`));
}

function jitter(delay: number): number {
    return delay * (0.5 + Math.random());
}
