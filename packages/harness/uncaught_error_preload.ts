import { writeFile } from "node:fs/promises";
import { join } from "node:path";

/**
 * Writes a module that makes a Node.js process throw out of an event at each SIGWINCH, and reject a promise that nobody
 * waits for at each SIGPWR.
 *
 * @param folder Existing folder that the module is written to.
 * @returns Environment variables with which a process loads the module at its start.
 * @example
 * ```ts
 * spawn(process.execPath, [program], { env: { ...process.env, ...await uncaughtErrorPreload(folder) } });
 * ```
 */
export async function uncaughtErrorPreload(folder: string): Promise<{ NODE_OPTIONS: string; }> {
    const file = join(folder, "throw_on_signals.cjs");
    await writeFile(
        file,
        `process.on("SIGWINCH", () => { throw new Error("planned exception"); });
        process.on("SIGPWR", () => { void Promise.reject(new Error("planned rejection")); });`,
    );
    return { NODE_OPTIONS: `--require ${file}` };
}
