import { execFileSync } from "node:child_process";
import { type FileHandle, open, readFile, rename, rm } from "node:fs/promises";

const HELD_SUFFIX = ".held";

/**
 * A file that cannot be read to its end before it is released: who reads it waits.
 *
 * @example
 * ```ts
 * const file = await HeldFile.hold("dist/laburnumslip.cjs");
 * await file.untilRead();
 * await file.release();
 * await file.close();
 * ```
 */
export class HeldFile {
    #pipe: FileHandle | undefined;

    private constructor(private readonly path: string) {}

    /**
     * Holds a file.
     *
     * @param path Path of the file.
     * @returns The held file.
     */
    static async hold(path: string): Promise<HeldFile> {
        await rename(path, path + HELD_SUFFIX);
        execFileSync("mkfifo", [path]);
        return new HeldFile(path);
    }

    /** Waits until a process has opened the file and reads it. */
    async untilRead(): Promise<void> {
        this.#pipe = await open(this.path, "w");
    }

    /** Gives the file to the process that reads it. */
    async release(): Promise<void> {
        await this.#pipe?.writeFile(await readFile(this.path + HELD_SUFFIX));
        await this.#closePipe();
    }

    /** Restores the file. */
    async close(): Promise<void> {
        await this.#closePipe();
        await rm(this.path);
        await rename(this.path + HELD_SUFFIX, this.path);
    }

    async #closePipe(): Promise<void> {
        await this.#pipe?.close();
        this.#pipe = undefined;
    }
}
