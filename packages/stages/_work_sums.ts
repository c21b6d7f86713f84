import { addSums } from "./_add_sums.ts";
import type { StageWorkReport } from "./stage_work_report.ts";

/** Time in milliseconds in which an observation loses half of its weight. */
const HALF_LIFE_MILLISECONDS = 30_000;

type Sums = StageWorkReport[string];

/** Sums of one service's observations, which lose weight with age; the order is that of the reports. */
export class WorkSums {
    #sums: Sums = [0, 0, 0, 0, 0, 0, 0];
    #updatedAt = 0;

    /** Adds observations. */
    add(sums: Sums, now: number): void {
        this.#sums = addSums(this.read(now), sums);
        this.#updatedAt = now;
    }

    /** The sums as they weigh now. */
    read(now: number): Sums {
        const factor = 0.5 ** (Math.max(0, now - this.#updatedAt) / HALF_LIFE_MILLISECONDS);
        const [prefills, promptTokens, idleTokens, idleMilliseconds, runs, occupancy, decodeMilliseconds] = this.#sums;
        return [
            prefills * factor,
            promptTokens * factor,
            idleTokens * factor,
            idleMilliseconds * factor,
            runs * factor,
            occupancy * factor,
            decodeMilliseconds * factor,
        ];
    }
}
