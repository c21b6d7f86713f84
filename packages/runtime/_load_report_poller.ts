import { monotonicMilliseconds, PeriodicTask } from "../clocks/mod.ts";
import type { ConfigurationState } from "../configuration/mod.ts";
import type { EnginePool } from "../engines/mod.ts";
import type { ReservationClient } from "../reservations/mod.ts";

const POLL_MILLISECONDS = 1_000;

/** Polls the engines' load reports, for placement policies that reserve no capacity. */
export class LoadReportPoller {
    readonly #task: PeriodicTask;

    constructor(configuration: ConfigurationState, engines: EnginePool, reservations: ReservationClient) {
        this.#task = new PeriodicTask(POLL_MILLISECONDS, async () => {
            const servers = Object.entries(configuration.document.backendServers);
            await Promise.all(
                servers.filter(([, { role }]) => role !== "service").map(async ([name, server]) => {
                    const report = await engines.at(server.address).report();
                    if (report.isOk()) {
                        const used = report.value.running.reduce((sum, { pieces }) => sum + pieces, 0);
                        const free = Math.max(0, server.capacity - used);
                        reservations.recordLoadHint(name, {
                            free,
                            waiting: 0,
                            at: monotonicMilliseconds(),
                            avoidUntil: 0,
                        });
                    }
                }),
            );
        });
    }

    /** Stops the polling. */
    async close(): Promise<void> {
        await this.#task.close();
    }
}
