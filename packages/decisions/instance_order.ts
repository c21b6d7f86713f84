import type { MemoryOrder } from "./memory_order.ts";
import type { WaitingRequest } from "./waiting_request.ts";

/**
 * Order of the requests of one instance by urgency, whatever waits at others.
 *
 * @example
 * ```ts
 * new InstanceOrder().mustYield(); // false
 * ```
 */
export class InstanceOrder implements MemoryOrder {
    /**
     * Returns the urgency of the request.
     *
     * @param request The request.
     * @returns Its urgency.
     */
    urgencyOf(request: WaitingRequest): number {
        return request.urgency;
    }

    /**
     * Never leaves room to other instances.
     *
     * @returns False.
     */
    mustYield(): boolean {
        return false;
    }
}
