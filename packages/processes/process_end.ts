import { describeError } from "./describe_error.ts";
import { readResidentMemory } from "./read_resident_memory.ts";

const BYTES_PER_MEGABYTE = 1_048_576;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Ends this process, and writes a last log line that says why, whatever ends it: a signal, a failed start, an error or a
 * program without anything left to do. Neither the line nor its output can change the end. Imports no other package, so
 * that it runs before the rest of the program is loaded.
 *
 * @example
 * ```ts
 * const end = new ProcessEnd(() => process.stdout);
 * end.exit(2, "invalid settings");
 * ```
 */
export class ProcessEnd {
    #cause = "nothing left to do";
    #signal: string | undefined;

    /**
     * @param output Returns the stream that the line is written to, standard output or standard error. It is not asked for
     *     before, since Node.js takes a while to open it.
     */
    constructor(private readonly output: () => NodeJS.WriteStream) {
        process.on("uncaughtExceptionMonitor", error => {
            // With a handler, the process goes on.
            if (process.listenerCount("uncaughtException") === 0) {
                this.#cause = `uncaught exception: ${describeError(error)}`;
            }
        });
        process.on("exit", code => {
            try {
                this.output().write(`${JSON.stringify(this.#describe(code))}\n`);
            }
            catch {
                // There is nobody left to tell, and an exception here would replace the exit code.
            }
        });
    }

    /** Opens the output. If nobody reads it any more, or it is full, that costs its lines, not the requests. */
    openOutput(): void {
        this.output().on("error", () => {});
    }

    /**
     * Ends the process.
     *
     * @param code Exit code.
     * @param cause Why the process ends.
     * @param signal Signal that asked for the end.
     */
    exit(code: number, cause: string, signal?: string): never {
        this.#cause = cause;
        this.#signal = signal;
        process.exit(code);
    }

    #describe(code: number): Record<string, unknown> {
        const residentBytes = readResidentMemory();
        return {
            time: new Date().toISOString(),
            level: code === 0 ? "info" : "error",
            instance: "laburnumslip",
            message: "process ends",
            code,
            cause: this.#cause,
            signal: this.#signal,
            pid: process.pid,
            upMilliseconds: Math.round(process.uptime() * MILLISECONDS_PER_SECOND),
            residentMegabytes: residentBytes && Math.round(residentBytes / BYTES_PER_MEGABYTE),
        };
    }
}
