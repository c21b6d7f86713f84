import { Fleet } from "../harness/mod.ts";

const CALLERS = [1, 8, 64];
const ROUND_MILLISECONDS = 4_000;
const STORE_DELAY_MILLISECONDS = 3;

/**
 * Measures once-only calls per second and store writes per call, for several numbers of concurrent callers.
 *
 * @returns A table in Markdown with one line per number of callers.
 * @example
 * ```ts
 * process.stdout.write(await measureOnceOnlyRate());
 * ```
 */
export async function measureOnceOnlyRate(): Promise<string> {
    const fleet = await Fleet.start({ instances: 3, engines: [] });
    try {
        await fleet.controlStandIn(fleet.storeAddress, { delayMilliseconds: STORE_DELAY_MILLISECONDS });
        const lines: string[] = [];
        for (const callers of CALLERS) {
            lines.push(await measure(fleet, callers));
        }
        return [
            "| callers | calls/s | p50 ms | p99 ms | refused | store writes/s | writes a call |",
            "|---|---|---|---|---|---|---|",
            ...lines,
            "",
        ].join("\n");
    }
    finally {
        await fleet.close();
    }
}

async function measure(fleet: Fleet, callers: number): Promise<string> {
    const readWrites = async () => {
        const { counts } = await fleet.controlStandIn<{ counts: { writes: number; }; }>(fleet.storeAddress);
        return counts.writes;
    };
    const before = await readWrites();
    const latencies: number[] = [];
    let refused = 0;
    const endsAt = performance.now() + ROUND_MILLISECONDS;
    await Promise.all(Array.from({ length: callers }, async (_, caller) => {
        for (let number = 0; performance.now() < endsAt; number++) {
            const startedAt = performance.now();
            const { status } = await fleet.call(number % fleet.instances.length, "/v1/orders", {
                key: fleet.key("north"),
                body: {},
                headers: { "idempotency-key": `${callers}-${caller}-${number}` },
            });
            latencies.push(performance.now() - startedAt);
            refused += status === 200 ? 0 : 1;
        }
    }));
    const seconds = ROUND_MILLISECONDS / 1_000;
    const written = await readWrites() - before;
    latencies.sort((left, right) => left - right);
    const percentile = (fraction: number) => (latencies[Math.floor(latencies.length * fraction)] ?? 0).toFixed(1);
    const cells = [
        callers,
        (latencies.length / seconds).toFixed(0),
        percentile(0.5),
        percentile(0.99),
        refused,
        (written / seconds).toFixed(0),
        (written / latencies.length).toFixed(2),
    ];
    return `| ${cells.join(" | ")} |`;
}
