import { createConsola, LogLevels, type LogObject } from "consola";
import type { Writable } from "node:stream";
import type { Logger } from "./logger.ts";

/** Lines written in one second at most; a line counts the rest. */
const MAXIMUM_LINES_PER_SECOND = 400;
/** Bytes that wait to be written above which lines are dropped instead. */
const MAXIMUM_WAITING_BYTES = 1_048_576;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Creates a logger that writes one JSON object a line. It never waits for its reader: lines beyond a rate, or beyond
 * what the reader has fetched, are dropped and counted.
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
    let second = 0;
    let lines = 0;
    let dropped = 0;
    const write = (entry: LogObject) => {
        const present = Math.floor(performance.now() / MILLISECONDS_PER_SECOND);
        if (present !== second) {
            second = present;
            lines = 0;
        }
        if (lines >= MAXIMUM_LINES_PER_SECOND || output.writableLength > MAXIMUM_WAITING_BYTES) {
            dropped++;
            return;
        }
        lines++;
        if (dropped > 0) {
            const fields = { message: "log lines dropped", fields: { lines: dropped } };
            dropped = 0;
            output.write(formatEntry(instance, { ...entry, type: "warn", ...fields }));
        }
        output.write(formatEntry(instance, entry));
    };
    const consola = createConsola({ level: LogLevels.info, throttle: 0, reporters: [{ log: write }] });
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
