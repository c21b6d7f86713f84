import { appendFile } from "node:fs/promises";
import sade from "sade";
import { type BenchResult, formatComparison, runBench, type Scenario } from "../bench/mod.ts";
import {
    measureCapacity,
    measureFleetCost,
    measureInputCost,
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
    .command("stand-ins <file>", "Run the stand-ins listed in a file")
    .action((file: string) => void runStandIns(file));

program
    .command("demo", "Start a small fleet and send each kind of request to it")
    .action(async () => {
        process.exitCode = await runDemo();
    });

program
    .command("soak", "Run a fleet under random faults and check every guarantee")
    .option("--workload", "liepkalns or blue-mahoe", "liepkalns")
    .option("--seed", "Seed of all random choices", 1)
    .option("--seconds", "Length of the phase with faults, in seconds", 60)
    .option("--instances", "Number of instances", 6)
    .option("--without", "Kinds of faults to leave out, separated by commas", "")
    .option("--keep-logs-in", "Directory that the logs of a failed run are copied to", "")
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
    .option("--seconds", "Length of the measured phase, in seconds", 30)
    .option("--instances", "Number of instances", 6)
    .option("--json", "File that every result is appended to, one JSON object per line", "")
    .action(async (options: Record<string, string | number>) => {
        process.exitCode = await bench(options);
    });

program
    .command("capacity", "Measure how the cost of each component grows with its size; run with --expose-gc")
    .action(async () => {
        process.stdout.write(await measureCapacity());
    });

program
    .command("fleet-cost", "Measure the cost of communication between instances, in fleets of several sizes")
    .action(async () => {
        process.stdout.write(await measureFleetCost());
    });

program
    .command("input-cost", "Measure what bytes of a peer cost for 1, 2 and 4 MB")
    .action(async () => await measureInputCost(line => process.stdout.write(`${line}\n`)));

program
    .command("once-only-rate", "Measure once-only calls per second and store writes per call")
    .action(async () => {
        process.stdout.write(await measureOnceOnlyRate());
    });

program
    .command("overhead", "Compare an instance with a bare pass-through proxy")
    .action(async () => {
        process.stdout.write(await measureOverhead());
    });

program
    .command("pass-through <address> <target>", "Run a bare pass-through proxy")
    .action((address: string, target: string) => runPassThrough(address, target));

program.parse(process.argv);

/**
 * Runs every combination of the scenarios, seeds and policies in turn. Prints a comparison, then the last result as the
 * last line.
 */
async function bench(options: Record<string, string | number>): Promise<number> {
    const listOption = (name: string) => String(options[name]).split(",");
    const workload = findWorkload(String(options["workload"]));
    if (!workload) {
        process.stderr.write(`Cannot find workload ${options["workload"]}\n`);
        return 1;
    }
    const results: BenchResult[] = [];
    for (const scenario of listOption("scenario")) {
        for (const seed of listOption("seed")) {
            for (const policy of listOption("policy")) {
                const result = await runBench({
                    workload,
                    policy: policy as "today",
                    scenario: scenario as Scenario,
                    seed: Number(seed),
                    seconds: Number(options["seconds"]),
                    instances: Number(options["instances"]),
                    onProgress: fraction => showProgress(`${scenario} ${policy} seed ${seed}`, fraction),
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

function showProgress(title: string, fraction: number): void {
    if (process.stderr.isTTY) {
        const width = 40;
        const done = Math.round(fraction * width);
        process.stderr.write(`\r${title} [${"#".repeat(done)}${" ".repeat(width - done)}]`);
    }
}
