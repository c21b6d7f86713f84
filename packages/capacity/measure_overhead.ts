import { tmpdir } from "node:os";
import { join } from "node:path";
import { sleep } from "../clocks/mod.ts";
import { Fleet, ManagedProcess, PortBlock, sendRequest } from "../harness/mod.ts";

const CALLERS = 16;
const ROUND_MILLISECONDS = 4_000;
const ROUNDS = 5;

/** Throughput and latency of one round; latencies are in milliseconds. */
interface Round {
    callsPerSecond: number;
    p50: number;
    p99: number;
}

/**
 * Compares calls to a plain service through one instance with the same calls through a bare pass-through proxy and
 * without either, in turn within one run.
 *
 * @returns A table in Markdown with one line per round, and the ratios.
 * @example
 * ```ts
 * process.stdout.write(await measureOverhead());
 * ```
 */
export async function measureOverhead(): Promise<string> {
    const fleet = await Fleet.start({ instances: 1, engines: [] });
    const ports = await PortBlock.reserve();
    const passThroughAddress = `127.0.0.1:${ports.next()}`;
    const service = fleet.services[0]?.address ?? "";
    const log = join(tmpdir(), "laburnumslip-pass-through.log");
    const passThrough = new ManagedProcess(["dist/development.cjs", "pass-through", passThroughAddress, service], log);
    try {
        await sleep(1_000);
        const instance = fleet.instances[0]?.callersAddress ?? "";
        const lines: string[] = [];
        const ratios: number[] = [];
        for (let round = 0; round < ROUNDS; round++) {
            const direct = await measureRound(service, fleet.key("north"));
            const proxied = await measureRound(passThroughAddress, fleet.key("north"));
            const routed = await measureRound(instance, fleet.key("north"));
            ratios.push(routed.callsPerSecond / proxied.callsPerSecond);
            lines.push(`| ${round + 1} | ${format(direct)} | ${format(proxied)} | ${format(routed)} |`);
        }
        ratios.sort((left, right) => left - right);
        return [
            "| round | direct: calls/s, p50 ms, p99 ms | pass-through | instance |",
            "|---|---|---|---|",
            ...lines,
            "",
            `Calls a second, instance / pass-through: median ${ratios[Math.floor(ROUNDS / 2)]?.toFixed(3)}`
            + ` (${ratios[0]?.toFixed(3)} to ${ratios.at(-1)?.toFixed(3)})`,
            "",
        ].join("\n");
    }
    finally {
        await passThrough.kill();
        await ports.close();
        await fleet.close();
    }
}

/** Calls an address for one round from several concurrent callers. */
async function measureRound(address: string, key: string): Promise<Round> {
    const latencies: number[] = [];
    const endsAt = performance.now() + ROUND_MILLISECONDS;
    await Promise.all(Array.from({ length: CALLERS }, async () => {
        while (performance.now() < endsAt) {
            const startedAt = performance.now();
            const { status } = await sendRequest(address, "/v1/status/x", { key });
            if (status === 200) {
                latencies.push(performance.now() - startedAt);
            }
        }
    }));
    latencies.sort((left, right) => left - right);
    const percentile = (fraction: number) => latencies[Math.floor(latencies.length * fraction)] ?? 0;
    return {
        callsPerSecond: latencies.length / (ROUND_MILLISECONDS / 1_000),
        p50: percentile(0.5),
        p99: percentile(0.99),
    };
}

function format({ callsPerSecond, p50, p99 }: Round): string {
    return `${callsPerSecond.toFixed(0)}, ${p50.toFixed(2)}, ${p99.toFixed(2)}`;
}
