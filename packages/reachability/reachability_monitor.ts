import type { LinkFault } from "./link_fault.ts";
import type { ReachabilityMonitorOptions } from "./reachability_monitor_options.ts";
import type { WaitingCall } from "./waiting_call.ts";

/**
 * Decides whether this instance is isolated: partitioned from all backend servers.
 *
 * @example
 * ```ts
 * const monitor = new ReachabilityMonitor(options);
 * monitor.onChange(isIsolated => console.log(isIsolated));
 * monitor.recordFault("server-1", "reset");
 * monitor.close();
 * ```
 */
export class ReachabilityMonitor {
    /**
     * @param options Dependencies of the monitor.
     */
    constructor(private readonly options: ReachabilityMonitorOptions) {}

    /** Whether this instance is partitioned from all servers. */
    get isIsolated(): boolean {
        return false;
    }

    /** Whether it is isolated, or that is being found out. */
    get isSuspected(): boolean {
        return false;
    }

    /**
     * Registers a listener that runs when the instance has become isolated, or reaches servers again.
     *
     * @param listener The listener.
     */
    onChange(listener: (isIsolated: boolean) => void): void {
        void listener;
    }

    /**
     * Reports to peers whether servers can be reached.
     *
     * @returns True if one has answered lately, false while isolated, undefined if nothing is known.
     */
    report(): boolean | undefined {
        return undefined;
    }

    /**
     * Finds out whether what was just seen of a server is no effect of isolation, by a probe of another server.
     *
     * @param server Id of the server.
     * @returns Whether the links stand.
     */
    async confirmLinks(server: string): Promise<boolean> {
        return server !== "";
    }

    /**
     * Records that a call has been sent to a server; {@linkcode endCall} follows when it has ended in any way.
     *
     * @param server Id of the server.
     * @returns The call.
     */
    beginCall(server: string): WaitingCall {
        return { server, startedAt: this.options.clock.now() };
    }

    /**
     * Records that a call does not wait any more.
     *
     * @param call The call.
     */
    endCall(call: WaitingCall): void {
        void call;
    }

    /**
     * Records that something has come from a server.
     *
     * @param server Id of the server.
     */
    recordAnswer(server: string): void {
        void server;
    }

    /**
     * Records that a call to a server has failed, or a connection to it has broken.
     *
     * @param server Id of the server.
     * @param kind How it failed.
     */
    recordFault(server: string, kind: LinkFault): void {
        void server;
        void kind;
    }

    /** Ends all timers. Probes that are under way have no effect any more. */
    close(): void {}
}
