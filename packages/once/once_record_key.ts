import { createHash } from "node:crypto";

/**
 * Computes the key of the record of a once-only call.
 *
 * @param organisation Organisation of the caller; empty on an open route.
 * @param route Name of the route.
 * @param idempotencyKey Value of the caller's `Idempotency-Key` header.
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
