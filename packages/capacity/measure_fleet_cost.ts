import { sleep } from "../clocks/mod.ts";
import { Fleet } from "../harness/mod.ts";

const SIZES = [1, 3, 9, 18];
const IDLE_MILLISECONDS = 8_000;
const SETTLE_MILLISECONDS = 3_000;

/**
 * Measures the cost of communication between instances in fleets of several sizes: while idle, at an epoch change and
 * at a configuration change.
 *
 * @returns A table in Markdown with one line per size; all figures are per instance.
 * @example
 * ```ts
 * process.stdout.write(await measureFleetCost());
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
        // The last instance is replaced below, which resets its counters, so it is left out.
        const countedInstances = Math.max(1, instances - 1);
        const average = async (series: string) => {
            const indexes = Array.from({ length: countedInstances }, (_, index) => index);
            const values = await Promise.all(indexes.map(index => fleet.sumMetric(index, series)));
            return values.reduce((total, value) => total + value, 0) / countedInstances;
        };
        await sleep(SETTLE_MILLISECONDS);
        const readCounters = async () => ({
            messages: await average("control_messages_total"),
            bytes: await average("control_bytes_total"),
            processor: await average("processor_seconds_total"),
        });
        const before = await readCounters();
        await sleep(IDLE_MILLISECONDS);
        const after = await readCounters();
        const seconds = IDLE_MILLISECONDS / 1_000;
        const idleBytesPerSecond = (after.bytes - before.bytes) / seconds;
        const change = await measureEventBytes(readCounters, idleBytesPerSecond, async () => {
            await fleet.change([{ collection: "drainedServers", name: "decode-1", value: { since: "" } }]);
        });
        const replacement = instances === 1
            ? 0
            : await measureEventBytes(readCounters, idleBytesPerSecond, async () => {
                await fleet.instances[instances - 1]?.process.terminate();
                await fleet.restart(instances - 1);
            });
        const resident = await average("resident_memory_bytes ") / 1_048_576;
        const cells = [
            instances,
            ((after.messages - before.messages) / seconds).toFixed(1),
            idleBytesPerSecond.toFixed(0),
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

/** Returns the bytes that an event causes, less those that an idle fleet sends in the same time. */
async function measureEventBytes(
    readCounters: () => Promise<{ bytes: number; }>,
    idleBytesPerSecond: number,
    event: () => Promise<void>,
): Promise<number> {
    const before = await readCounters();
    const startedAt = performance.now();
    await event();
    await sleep(SETTLE_MILLISECONDS);
    const seconds = (performance.now() - startedAt) / 1_000;
    const after = await readCounters();
    return Math.max(0, after.bytes - before.bytes - idleBytesPerSecond * seconds);
}
