import { createHash } from "node:crypto";

/**
 * Computes the key of a call's record.
 *
 * @param organisation Organisation of the caller; empty on an open route.
 * @param route Name of the route.
 * @param idempotencyKey The caller's `Idempotency-Key`.
 * @returns A hash in hexadecimal digits.
 * @example
 * ```ts
 * onceRecordKey("north", "orders", "order-17").length; // 32
 * ```
 */
export function onceRecordKey(organisation: string, route: string, idempotencyKey: string): string {
    const text = JSON.stringify([organisation, route, idempotencyKey]);
    return createHash("sha256").update(text).digest("hex").slice(0, 32);
}
