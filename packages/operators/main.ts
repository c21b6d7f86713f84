import { ProcessEnd, ProcessSignals, skipWebAssemblyOptimizer } from "../processes/mod.ts";

const FAILED_LOAD_EXIT_CODE = 4;

function handleSignals(): ProcessSignals {
    return new ProcessSignals(new ProcessEnd(() => process.stderr));
}

async function main(): Promise<void> {
    // A router handles signals before the rest of the program is loaded; the other commands leave them at their default.
    const signals = process.argv[2] === "serve" ? handleSignals() : undefined;
    skipWebAssemblyOptimizer();
    const { runProgram } = await import("./run_program.ts");
    runProgram(process.argv, () => signals ?? handleSignals());
}

main().catch((error: unknown) => {
    process.exitCode = FAILED_LOAD_EXIT_CODE;
    process.stderr.write(`Cannot run: ${String(error)}\n`);
});
