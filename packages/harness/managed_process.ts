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
     * @param argumentsOfNode Arguments of the Node.js program.
     * @param logFile File for its output.
     * @param environment Variables of the environment besides this process's own.
     */
    constructor(argumentsOfNode: string[], logFile: string, environment: Record<string, string> = {}) {
        const log = openSync(logFile, "a");
        this.#child = spawn(process.execPath, argumentsOfNode, {
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

    /** Exit code, once ended by itself. */
    get exitCode(): number | undefined {
        return this.#child.exitCode ?? undefined;
    }

    /** Stops the process between two instructions. */
    suspend(): void {
        this.#child.kill("SIGSTOP");
    }

    /** Lets a stopped process go on. */
    resume(): void {
        this.#child.kill("SIGCONT");
    }

    /** Tells the process that its settings may have changed. */
    reload(): void {
        this.#child.kill("SIGHUP");
    }

    /**
     * Ends the process at once.
     *
     * @returns A promise that resolves once it has ended.
     */
    async kill(): Promise<void> {
        this.#child.kill("SIGKILL");
        await this.waitForExit();
    }

    /**
     * Asks the process to shut down.
     *
     * @returns A promise that resolves once it has ended.
     */
    async terminate(): Promise<void> {
        this.#child.kill("SIGTERM");
        await this.waitForExit();
    }

    /**
     * Waits for the end.
     *
     * @returns A promise that resolves once the process has ended.
     */
    async waitForExit(): Promise<void> {
        if (!this.ended) {
            await once(this.#child, "exit");
        }
    }
}
