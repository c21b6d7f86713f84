import { sleep } from "../clocks/mod.ts";
import { Fleet } from "../harness/mod.ts";

const SIZES = [1, 3, 9, 18];
const IDLE_MILLISECONDS = 8_000;
const SETTLE_MILLISECONDS = 3_000;

/**
 * Measures what instances spend on each other while nothing happens, at an epoch change and at a change of the
 * configuration, in fleets of several sizes.
 *
 * @returns One line a size, as a table in Markdown; all figures are for one instance.
 * @example
 * ```ts
 * process.stdout.write(await measureFleet());
 * ```
 */
export async function measureFleetCost(): Promise<string> {
    const lines: string[] = [];
    for (const instances of SIZES) {
        lines.push(await measure(instances));
    }
    return [
        "| instances | idle: messages/s | bytes/s | core % | resident MB | bytes for a replacement | for a change |",
        "|---|---|---|---|---|---|---|",
        ...lines,
        "",
    ].join("\n");
}

async function measure(instances: number): Promise<string> {
    const fleet = await Fleet.start({ instances });
    try {
        // The last instance is replaced below and would lose its counters.
        const counted = Math.max(1, instances - 1);
        const sum = async (series: string) => {
            const indexes = Array.from({ length: counted }, (_, index) => index);
            const values = await Promise.all(indexes.map(index => fleet.sumMetric(index, series)));
            return values.reduce((total, value) => total + value, 0) / counted;
        };
        await sleep(SETTLE_MILLISECONDS);
        const read = async () => ({
            messages: await sum("control_messages_total"),
            bytes: await sum("control_bytes_total"),
            processor: await sum("processor_seconds_total"),
        });
        const before = await read();
        await sleep(IDLE_MILLISECONDS);
        const after = await read();
        const seconds = IDLE_MILLISECONDS / 1_000;
        const idleBytes = (after.bytes - before.bytes) / seconds;
        const change = await costOf(read, idleBytes, async () => {
            await fleet.change([{ collection: "drainedServers", name: "decode-1", value: { since: "" } }]);
        });
        const replacement = instances === 1 ? 0 : await costOf(read, idleBytes, async () => {
            await fleet.instances[instances - 1]?.process.terminate();
            await fleet.restart(instances - 1);
        });
        const resident = await sum("resident_memory_bytes ") / 1_048_576;
        const cells = [
            instances,
            ((after.messages - before.messages) / seconds).toFixed(1),
            idleBytes.toFixed(0),
            ((after.processor - before.processor) / seconds * 100).toFixed(2),
            resident.toFixed(0),
            replacement.toFixed(0),
            change.toFixed(0),
        ];
        return `| ${cells.join(" | ")} |`;
    }
    finally {
        await fleet.close();
    }
}

/** Bytes of an event beyond what the time would have cost without it. */
async function costOf(
    read: () => Promise<{ bytes: number; }>,
    idleBytesPerSecond: number,
    event: () => Promise<void>,
): Promise<number> {
    const before = await read();
    const startedAt = performance.now();
    await event();
    await sleep(SETTLE_MILLISECONDS);
    const seconds = (performance.now() - startedAt) / 1_000;
    const after = await read();
    return Math.max(0, after.bytes - before.bytes - idleBytesPerSecond * seconds);
}
