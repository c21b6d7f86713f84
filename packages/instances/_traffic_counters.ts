import type { Metrics } from "../metrics/mod.ts";

type Direction = "sent" | "received";

/** Counts messages and bytes on the connections between instances, by kind of message. */
export class TrafficCounters {
    readonly #counters: Record<Direction, Map<string, (bytes: number) => void>> = {
        sent: new Map(),
        received: new Map(),
    };

    constructor(private readonly metrics: Metrics) {}

    /** Counts one sent frame. */
    sent(kind: string, bytes: number): void {
        this.#count("sent", kind, bytes);
    }

    /** Counts one received frame. */
    received(kind: string, bytes: number): void {
        this.#count("received", kind, bytes);
    }

    /** Counts one notification that could not be handled, of which its sender learns nothing. */
    failed(kind: string): void {
        this.metrics.increment("control_failures_total", { kind });
    }

    #count(direction: Direction, kind: string, bytes: number): void {
        const counters = this.#counters[direction];
        let count = counters.get(kind);
        if (!count) {
            const countMessage = this.metrics.counter("control_messages_total", { kind, direction });
            const countBytes = this.metrics.counter("control_bytes_total", { kind, direction });
            count = frameBytes => {
                countMessage();
                countBytes(frameBytes);
            };
            counters.set(kind, count);
        }
        count(bytes);
    }
}
