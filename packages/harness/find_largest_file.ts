import { readdir, stat } from "node:fs/promises";
import { join } from "node:path";

/**
 * Finds the largest file of a folder.
 *
 * @param folder Path of the folder.
 * @returns Path of the file.
 * @throws {Error} If the folder is empty.
 * @example
 * ```ts
 * const file = await findLargestFile("target");
 * ```
 */
export async function findLargestFile(folder: string): Promise<string> {
    const files = (await readdir(folder)).map(name => join(folder, name));
    const sizes = await Promise.all(files.map(async file => (await stat(file)).size));
    const largest = files[sizes.indexOf(Math.max(...sizes))];
    if (largest === undefined) {
        throw new Error(`No files in ${folder}`);
    }
    return largest;
}
