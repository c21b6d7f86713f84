import { sleep } from "../clocks/mod.ts";
import { Instance, loadSettings } from "../runtime/mod.ts";
import { ExitCode } from "./exit_code.ts";

const EXIT_MARGIN_MILLISECONDS = 50;

/** Runs an instance until SIGTERM or SIGINT, then shuts it down and exits. */
export async function serve(file: string): Promise<void> {
    const settings = await loadSettings(file);
    if (settings.isErr()) {
        settings.error.forEach(line => process.stderr.write(`${line}\n`));
        process.exit(ExitCode.invalid);
    }
    try {
        const instance = await Instance.create(settings.value);
        await instance.start();
        let stopping = false;
        const stop = async () => {
            if (!stopping) {
                stopping = true;
                await instance.shutDown();
                await sleep(EXIT_MARGIN_MILLISECONDS);
                process.exit(ExitCode.success);
            }
        };
        process.on("SIGTERM", () => void stop());
        process.on("SIGINT", () => void stop());
    }
    catch (error) {
        process.stderr.write(`Cannot start: ${error instanceof Error ? error.message : String(error)}\n`);
        process.exit(ExitCode.unavailable);
    }
}
