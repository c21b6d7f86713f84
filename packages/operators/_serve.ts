import { sleep } from "../clocks/mod.ts";
import { createLogger, logFailure } from "../logs/mod.ts";
import { type ProcessEnd, type ProcessSignals, UncaughtErrors } from "../processes/mod.ts";
import { Instance, loadSettings } from "../runtime/mod.ts";
import { awaitSettings } from "../settings/mod.ts";
import { ExitCode } from "./exit_code.ts";

const EXIT_MARGIN_MILLISECONDS = 50;

/** Runs an instance until SIGTERM, SIGINT or SIGQUIT, then shuts it down and exits. */
export async function serve(file: string, signals: ProcessSignals): Promise<void> {
    const end: ProcessEnd = signals.end;
    end.openOutput();
    const logger = createLogger("laburnumslip");
    const uncaughtErrors = new UncaughtErrors(logger, end);
    logger.info("process started", { pid: process.pid, node: process.version, arch: process.arch });
    const settings = await awaitSettings(() => loadSettings(file), logger);
    if (settings.isErr()) {
        settings.error.forEach(line => process.stderr.write(`${line}\n`));
        end.exit(ExitCode.invalid, "invalid settings");
    }
    if (settings.value.stopOnViolation) {
        uncaughtErrors.stopAtNext();
    }
    try {
        const instance = await Instance.create(settings.value);
        await instance.start();
        let stopping = false;
        const stop = async (signal: string) => {
            if (!stopping) {
                stopping = true;
                await instance.shutDown();
                await sleep(EXIT_MARGIN_MILLISECONDS);
                end.exit(ExitCode.success, "shut down", signal);
            }
        };
        signals.connect({
            terminate: signal => {
                stop(signal).catch((error: unknown) => {
                    logFailure(logger, "cannot shut down")(error);
                    end.exit(ExitCode.unavailable, "cannot shut down", signal);
                });
            },
            reload: () => logger.warn("settings are not reloaded: they apply from the next start"),
        });
    }
    catch (error) {
        process.stderr.write(`Cannot start: ${error instanceof Error ? error.message : String(error)}\n`);
        end.exit(ExitCode.unavailable, "cannot start");
    }
}
