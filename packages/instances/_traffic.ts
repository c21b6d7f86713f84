import type { Metrics } from "../metrics/mod.ts";

/** Counts the messages and bytes of the connections between instances by kind. */
export class Traffic {
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
