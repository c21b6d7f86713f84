import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { closeSync, openSync } from "node:fs";

/**
 * A child process whose output goes to a file.
 *
 * @example
 * ```ts
 * const child = new ManagedProcess(["dist/laburnumslip.cjs", "serve", "a.jsonc"], "a.log");
 * await child.kill();
 * ```
 */
export class ManagedProcess {
    readonly #child: ChildProcess;

    /**
     * @param nodeArguments Arguments of the Node.js program.
     * @param logFile File that its output is appended to.
     * @param environment Environment variables, in addition to those of this process.
     * @param descriptors Number of file descriptors that it may open; by default that of this process.
     */
    constructor(
        nodeArguments: string[],
        logFile: string,
        environment: Record<string, string> = {},
        descriptors?: number,
    ) {
        const log = openSync(logFile, "a");
        const program = [process.execPath, ...nodeArguments];
        const [command = "", ...commandArguments] = descriptors === undefined
            ? program
            : ["sh", "-c", `ulimit -n ${descriptors}; exec "$0" "$@"`, ...program];
        this.#child = spawn(command, commandArguments, {
            stdio: ["ignore", log, log],
            env: { ...process.env, ...environment },
        });
        closeSync(log);
    }

    /** Process id. */
    get pid(): number | undefined {
        return this.#child.pid;
    }

    /** Whether the process has ended. */
    get ended(): boolean {
        return typeof this.#child.exitCode === "number" || typeof this.#child.signalCode === "string";
    }

    /** Exit code; undefined while the process runs and after a signal ended it. */
    get exitCode(): number | undefined {
        return this.#child.exitCode ?? undefined;
    }

    /** Signal that ended the process; undefined while it runs and after it ended by itself. */
    get signal(): NodeJS.Signals | undefined {
        return this.#child.signalCode ?? undefined;
    }

    /** Suspends the process (SIGSTOP). */
    suspend(): void {
        this.#child.kill("SIGSTOP");
    }

    /** Resumes a suspended process (SIGCONT). */
    resume(): void {
        this.#child.kill("SIGCONT");
    }

    /** Makes the process reload its settings (SIGHUP). */
    reload(): void {
        this.#child.kill("SIGHUP");
    }

    /**
     * Kills the process (SIGKILL).
     *
     * @returns A promise that resolves once it has ended.
     */
    async kill(): Promise<void> {
        this.#child.kill("SIGKILL");
        await this.waitForExit();
    }

    /**
     * Asks the process to shut down (SIGTERM).
     *
     * @returns A promise that resolves once it has ended.
     */
    async terminate(): Promise<void> {
        this.#child.kill("SIGTERM");
        await this.waitForExit();
    }

    /**
     * Waits until the process has ended.
     *
     * @returns A promise that resolves once the process has ended.
     */
    async waitForExit(): Promise<void> {
        if (!this.ended) {
            await once(this.#child, "exit");
        }
    }
}
