import sade from "sade";
import { runDemo } from "../demo/mod.ts";
import { runStandIns } from "../stand_ins/mod.ts";

const program = sade("development");

program
    .command("stand-ins <file>", "Run the stand-ins that a file lists")
    .action((file: string) => void runStandIns(file));

program
    .command("demo", "Show the main job with real processes")
    .action(async () => {
        process.exitCode = await runDemo();
    });

program.parse(process.argv);
