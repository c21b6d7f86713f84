import { appendFile } from "node:fs/promises";
import sade from "sade";
import { type BenchResult, formatComparison, runBench, type Scenario } from "../bench/mod.ts";
import {
    measureCapacity,
    measureFleetCost,
    measureOnceOnlyRate,
    measureOverhead,
    runPassThrough,
} from "../capacity/mod.ts";
import { runDemo } from "../demo/mod.ts";
import { runSoak } from "../soak/mod.ts";
import { runStandIns } from "../stand_ins/mod.ts";
import { findWorkload } from "../workloads/mod.ts";

const program = sade("development");

program
    .command("stand-ins <file>", "Run the stand-ins that a file lists")
    .action((file: string) => void runStandIns(file));

program
    .command("demo", "Show the main job with real processes")
    .action(async () => {
        process.exitCode = await runDemo();
    });

program
    .command("soak", "Run a fleet under random faults and check every promise")
    .option("--workload", "liepkalns or blue-mahoe", "liepkalns")
    .option("--seed", "Seed of all random choices", 1)
    .option("--seconds", "Length of the disturbed part", 60)
    .option("--instances", "Number of instances", 6)
    .option("--without", "Kinds of faults to leave out, separated by commas", "")
    .option("--keep-logs-in", "Directory that keeps the logs of a failed run", "")
    .action(async (options: Record<string, string | number>) => {
        const workload = findWorkload(String(options["workload"]));
        if (!workload) {
            process.stderr.write(`Cannot find workload ${options["workload"]}\n`);
            process.exitCode = 1;
            return;
        }
        const keepLogsIn = String(options["keep-logs-in"]);
        const report = await runSoak({
            workload,
            seed: Number(options["seed"]),
            seconds: Number(options["seconds"]),
            instances: Number(options["instances"]),
            without: String(options["without"]).split(","),
            ...(keepLogsIn === "" ? {} : { keepLogsIn }),
        });
        process.stdout.write(`${JSON.stringify(report)}\n`);
        process.exitCode = report.passed ? 0 : 1;
    });

program
    .command("bench", "Measure a policy under an open-loop load")
    .option("--workload", "liepkalns or blue-mahoe", "liepkalns")
    .option("--policy", "Policies, separated by commas: today, round-robin, least-loaded", "today")
    .option("--scenario", "Scenarios, separated by commas: steady, peak, flood, zone, cold, outage", "steady")
    .option("--seed", "Seeds, separated by commas", 1)
    .option("--seconds", "Length of the measured part", 30)
    .option("--instances", "Number of instances", 6)
    .option("--json", "File that gets every result, one JSON object a line", "")
    .action(async (options: Record<string, string | number>) => {
        process.exitCode = await bench(options);
    });

program
    .command("capacity", "Measure how each role's cost grows with its size; run with --expose-gc")
    .action(async () => {
        process.stdout.write(await measureCapacity());
    });

program
    .command("fleet-cost", "Measure what instances spend on each other, in fleets of several sizes")
    .action(async () => {
        process.stdout.write(await measureFleetCost());
    });

program
    .command("once-only-rate", "Measure once-only calls a second and the store's writes for each")
    .action(async () => {
        process.stdout.write(await measureOnceOnlyRate());
    });

program
    .command("overhead", "Compare an instance with a bare pass-through")
    .action(async () => {
        process.stdout.write(await measureOverhead());
    });

program
    .command("pass-through <address> <target>", "Run a bare pass-through")
    .action((address: string, target: string) => runPassThrough(address, target));

program.parse(process.argv);

/** Runs every combination of the policies, scenarios and seeds in turn; the last line is the last result. */
async function bench(options: Record<string, string | number>): Promise<number> {
    const list = (name: string) => String(options[name]).split(",");
    const workload = findWorkload(String(options["workload"]));
    if (!workload) {
        process.stderr.write(`Cannot find workload ${options["workload"]}\n`);
        return 1;
    }
    const results: BenchResult[] = [];
    for (const scenario of list("scenario")) {
        for (const seed of list("seed")) {
            for (const policy of list("policy")) {
                const result = await runBench({
                    workload,
                    policy: policy as "today",
                    scenario: scenario as Scenario,
                    seed: Number(seed),
                    seconds: Number(options["seconds"]),
                    instances: Number(options["instances"]),
                    onProgress: share => showProgress(`${scenario} ${policy} seed ${seed}`, share),
                });
                results.push(result);
                if (options["json"] !== "") {
                    await appendFile(String(options["json"]), `${JSON.stringify(result)}\n`);
                }
            }
        }
    }
    process.stdout.write(formatComparison(results));
    process.stdout.write(`${JSON.stringify(results.at(-1))}\n`);
    return 0;
}

function showProgress(title: string, share: number): void {
    if (process.stderr.isTTY) {
        const width = 40;
        const done = Math.round(share * width);
        process.stderr.write(`\r${title} [${"#".repeat(done)}${" ".repeat(width - done)}]`);
    }
}
