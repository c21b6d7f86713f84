import sade from "sade";
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

program.parse(process.argv);
