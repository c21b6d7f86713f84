import type { Metrics } from "../metrics/mod.ts";

/** Counts messages and bytes on the connections between instances, by kind of message. */
export class TrafficCounters {
    constructor(private readonly metrics: Metrics) {}

    /** Counts one sent frame. */
    sent(kind: string, bytes: number): void {
        this.metrics.increment("control_messages_total", { kind, direction: "sent" });
        this.metrics.increment("control_bytes_total", { kind, direction: "sent" }, bytes);
    }

    /** Counts one received frame. */
    received(kind: string, bytes: number): void {
        this.metrics.increment("control_messages_total", { kind, direction: "received" });
        this.metrics.increment("control_bytes_total", { kind, direction: "received" }, bytes);
    }
}
