import type sade from "sade";
import type { ProcessSignals } from "../processes/mod.ts";
import { createProgram } from "./create_program.ts";
import { ExitCode } from "./exit_code.ts";

/** The forms of options; other arguments that begin with "-" would be read as several short options, such as "-h". */
const OPTION_PATTERN = /^(?:-[hv]|--[a-z][a-z-]*(?:=.*)?)$/s;
const UNKNOWN_OPTION = "Unknown option; put -- before an argument that begins with -, and other options before that";

/**
 * Runs the command that the arguments name. Arguments that no command uses are refused, since a command that ignores
 * one would report success for something that it has not done.
 *
 * @param argv Arguments of the process, including the program's name.
 * @param handleSignals Handles the signals to this process, for the command that runs an instance.
 * @example
 * ```ts
 * runProgram(["node", "laburnumslip", "check", "fleet.jsonc"], () => signals);
 * ```
 */
export function runProgram(argv: string[], handleSignals: () => ProcessSignals): void {
    const end = argv.indexOf("--");
    const options = argv.slice(2, end === -1 ? undefined : end).filter(argument => argument.startsWith("-"));
    if (!options.every(option => OPTION_PATTERN.test(option))) {
        refuse(UNKNOWN_OPTION);
        return;
    }
    const parsing = { lazy: true as const, unknown: () => UNKNOWN_OPTION };
    const command = createProgram(handleSignals).parse(argv, parsing) as sade.LazyOutput | undefined;
    // Undefined after `--help` or `--version`.
    if (!command) {
        return;
    }
    const { _: unused } = command.args.at(-1) as unknown as { _: string[]; };
    if (unused.length > 0) {
        refuse("Too many arguments");
        return;
    }
    command.handler(...command.args);
}

function refuse(message: string): void {
    process.stderr.write(`error: ${message}\n`);
    process.exitCode = ExitCode.invalid;
}
