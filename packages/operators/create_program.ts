import sade from "sade";
import { commands } from "./_commands.ts";
import { serve } from "./_serve.ts";
import { ExitCode } from "./exit_code.ts";

declare const LABURNUMSLIP_VERSION: string;

/**
 * Creates the command line.
 *
 * @returns The program, to be given the process's arguments.
 * @example
 * ```ts
 * createProgram().parse(["node", "laburnumslip", "check", "fleet.jsonc"]);
 * ```
 */
export function createProgram(): sade.Sade {
    const program = sade("laburnumslip");
    program
        .version(LABURNUMSLIP_VERSION)
        .describe("Routes model requests to separate prefill and decode pools.")
        .option("--instance", "Addresses of instances, separated by commas")
        .option("--secret-file", "File with the secret shared by instances and operators");
    program
        .command("serve <settings>", "Run an instance")
        .action((file: string) => void serve(file));
    program
        .command("check <file>", "Check a settings or declaration file")
        .action((file: string) => finish(commands.check(file)));
    program
        .command("apply <declaration>", "Put a declaration in force")
        .option("--dry-run", "Only show the difference")
        .action((file: string, options) => finish(commands.apply(file, options)));
    program
        .command("status", "Show instances, versions in force, homes and servers")
        .action(options => finish(commands.status(options)));
    program
        .command("keys grant <organisation>", "Grant a key")
        .option("--hash", "SHA-256 of a key made elsewhere, in hexadecimal digits")
        .option("--label", "Text that helps to find the key again")
        .action((organisation: string, options) => finish(commands.grant(organisation, options)));
    program
        .command("keys withdraw <key>", "Withdraw a key, named by itself or its hash")
        .action((key: string, options) => finish(commands.withdraw(key, options)));
    program
        .command("drain <name>", "Take a backend server or failure domain out")
        .action((name: string, options) => finish(commands.drain(name, options)));
    program
        .command("restore <name>", "Take a backend server or failure domain back in")
        .action((name: string, options) => finish(commands.restore(name, options)));
    program
        .command("order <server> <kind> <target>", "Send an order to a backend server")
        .action((server: string, kind: string, target: string, options) =>
            finish(commands.order(server, kind, target, options))
        );
    return program;
}

function finish(running: Promise<number>): void {
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
