import { readFileSync } from "node:fs";

const LIMITS_FILE = "/proc/self/limits";
const OPEN_FILES = /^Max open files\s+(\d+)/m;

/**
 * Reads how many file descriptors this process may have. Its settings come first: where sockets are counted apart from
 * files, the system's limit is that of files alone.
 *
 * @param setting What its settings say, if they do.
 * @param file File that holds the system's limits for the process. Default: that of this process on Linux.
 * @returns The limit; undefined if neither is known or there is none.
 * @example
 * ```ts
 * const descriptors = readDescriptorLimit(settings.maximumDescriptors);
 * ```
 */
export function readDescriptorLimit(setting: number | undefined, file = LIMITS_FILE): number | undefined {
    return setting ?? readSystemLimit(file);
}

/** The file is absent on other systems, and unreadable without a descriptor; there is no bound then. */
function readSystemLimit(file: string): number | undefined {
    try {
        const limit = OPEN_FILES.exec(readFileSync(file, "utf8"))?.[1];
        return limit === undefined ? undefined : Number(limit);
    }
    catch {
        return undefined;
    }
}
