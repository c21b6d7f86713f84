import { createConsola, LogLevels, type LogObject } from "consola";
import type { Writable } from "node:stream";
import type { Logger } from "./logger.ts";

/**
 * Creates a logger that writes one JSON object a line.
 *
 * @param instance Name of the instance, part of each entry.
 * @param output Where the lines go. Default: standard error.
 * @returns The logger.
 * @example
 * ```ts
 * createLogger("instance-1").info("listening", { port: 8080 });
 * ```
 */
export function createLogger(instance: string, output: Writable = process.stderr): Logger {
    const consola = createConsola({
        level: LogLevels.info,
        reporters: [{ log: entry => output.write(formatEntry(instance, entry)) }],
    });
    return {
        info: (message, fields) => consola.info({ message, additional: undefined, fields }),
        warn: (message, fields) => consola.warn({ message, additional: undefined, fields }),
        error: (message, fields) => consola.error({ message, additional: undefined, fields }),
    };
}

function formatEntry(instance: string, entry: LogObject): string {
    const fields = entry["fields"] as Record<string, unknown> | undefined;
    const line = {
        time: entry.date.toISOString(),
        level: entry.type,
        instance,
        message: entry.message ?? String(entry.args[0] ?? ""),
        ...fields,
    };
    return `${JSON.stringify(line)}\n`;
}
