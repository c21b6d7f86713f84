import sade from "sade";
import type { ProcessSignals } from "../processes/mod.ts";
import { commands } from "./_commands.ts";
import { serve } from "./_serve.ts";
import { ExitCode } from "./exit_code.ts";

declare const LABURNUMSLIP_VERSION: string;

/**
 * Creates the command line.
 *
 * @param handleSignals Handles the signals to this process, for the command that runs an instance.
 * @returns The program; its `parse` method takes the arguments of the process.
 * @example
 * ```ts
 * const program = createProgram(() => new ProcessSignals(new ProcessEnd(() => process.stderr)));
 * program.parse(["node", "laburnumslip", "check", "fleet.jsonc"]);
 * ```
 */
export function createProgram(handleSignals: () => ProcessSignals): sade.Sade {
    const program = sade("laburnumslip");
    program
        .version(LABURNUMSLIP_VERSION)
        .describe("Routes model requests to separate prefill and decode pools.")
        .option("--instance", "Addresses of instances, separated by commas")
        .option("--secret-file", "File that contains the secret shared by instances and operators");
    program
        .command("serve <settings>", "Run an instance")
        .action((file: string) => void serve(file, handleSignals()));
    program
        .command("check <file>", "Check a settings or declaration file")
        .option("--against", "Declaration file to compare with; in-force: the configuration of the fleet")
        .option("--json", "Print the result as JSON")
        .action((file: string, options) => setExitCode(commands.check(file, options)));
    program
        .command("apply <declaration>", "Apply a declaration")
        .option("--dry-run", "Only print the differences")
        .action((file: string, options) => setExitCode(commands.apply(file, options)));
    program
        .command("status", "Print instances, versions in force, homes and servers")
        .action(options => setExitCode(commands.status(options)));
    program
        .command("keys grant <organisation>", "Grant an API key to an organisation")
        .option("--hash", "SHA-256 of an existing key in hexadecimal digits; no key is generated")
        .option("--label", "Text that identifies the key to operators")
        .action((organisation: string, options) => setExitCode(commands.grant(organisation, options)));
    program
        .command("keys withdraw <key>", "Revoke an API key, given as the key or its hash")
        .action((key: string, options) => setExitCode(commands.withdraw(key, options)));
    program
        .command("drain <name>", "Drain a backend server or failure domain")
        .action((name: string, options) => setExitCode(commands.drain(name, options)));
    program
        .command("restore <name>", "Restore a drained backend server or failure domain")
        .action((name: string, options) => setExitCode(commands.restore(name, options)));
    program
        .command("order <server> <kind> <target>", "Send an order to a backend server")
        .action((server: string, kind: string, target: string, options) =>
            setExitCode(commands.order(server, kind, target, options))
        );
    return program;
}

function setExitCode(running: Promise<number>): void {
    running.then(
        code => {
            process.exitCode = code;
        },
        error => {
            process.stdout.write(`error: ${error instanceof Error ? error.message : String(error)}\n`);
            process.exitCode = ExitCode.unavailable;
        },
    );
}
