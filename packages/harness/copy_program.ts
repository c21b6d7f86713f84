import { copyFile, mkdir, readdir } from "node:fs/promises";
import { join } from "node:path";

/**
 * Copies the files of a built program, so that a test can change them.
 *
 * @param source Folder that it was built into.
 * @param name Name that its files begin with.
 * @param folder Folder to create.
 * @returns Path of the file that Node.js is started with.
 * @example
 * ```ts
 * const program = await copyProgram("dist", "laburnumslip", join(folder, "program"));
 * ```
 */
export async function copyProgram(source: string, name: string, folder: string): Promise<string> {
    await mkdir(folder);
    const files = (await readdir(source)).filter(file => file.startsWith(name) && file.endsWith(".cjs"));
    await Promise.all(files.map(file => copyFile(join(source, file), join(folder, file))));
    return join(folder, `${name}.cjs`);
}
