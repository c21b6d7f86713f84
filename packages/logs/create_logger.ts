import { createConsola, LogLevels, type LogObject } from "consola";
import type { Writable } from "node:stream";
import { describeError } from "../processes/mod.ts";
import type { Logger } from "./logger.ts";

/** Maximum number of lines written per second; further lines are dropped and counted. */
const MAXIMUM_LINES_PER_SECOND = 400;
/** Maximum number of lines per second after which those about single requests are dropped; others tell the process's state. */
const MAXIMUM_REQUEST_LINES_PER_SECOND = 300;
/** Maximum number of buffered bytes; above it, lines are dropped and counted. */
const MAXIMUM_BUFFERED_BYTES = 1_048_576;
const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Creates a logger that writes one JSON object per line. It neither blocks nor throws: lines beyond a rate, lines that the
 * output does not consume fast enough and lines that it does not take are dropped, and a later line states their number.
 * Fields that have no JSON form are replaced by the reason.
 *
 * @param instance Name of the instance, part of each entry.
 * @param output Stream to write to. Default: standard error.
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
    const writeEntry = (entry: LogObject) => {
        try {
            output.write(formatEntry(instance, entry));
        }
        catch {
            dropped++;
        }
    };
    const write = (entry: LogObject) => {
        const currentSecond = Math.floor(performance.now() / MILLISECONDS_PER_SECOND);
        if (currentSecond !== second) {
            second = currentSecond;
            lines = 0;
        }
        const fields = entry["fields"] as Record<string, unknown> | undefined;
        const maximumLines = fields && "request" in fields
            ? MAXIMUM_REQUEST_LINES_PER_SECOND
            : MAXIMUM_LINES_PER_SECOND;
        if (lines >= maximumLines || output.writableLength > MAXIMUM_BUFFERED_BYTES) {
            dropped++;
            return;
        }
        lines++;
        if (dropped > 0) {
            const notice = { message: "log lines dropped", fields: { lines: dropped } };
            dropped = 0;
            writeEntry({ ...entry, type: "warn", ...notice });
        }
        writeEntry(entry);
    };
    const consola = createConsola({ level: LogLevels.info, throttle: 0, reporters: [{ log: write }] });
    return {
        info: (message, fields) => consola.info({ message, additional: undefined, fields }),
        warn: (message, fields) => consola.warn({ message, additional: undefined, fields }),
        error: (message, fields) => consola.error({ message, additional: undefined, fields }),
    };
}

function formatEntry(instance: string, entry: LogObject): string {
    const line = {
        time: entry.date.toISOString(),
        level: entry.type,
        instance,
        message: entry.message ?? String(entry.args[0] ?? ""),
    };
    const fields = entry["fields"] as Record<string, unknown> | undefined;
    try {
        return `${JSON.stringify({ ...line, ...fields })}\n`;
    }
    catch (error) {
        return `${JSON.stringify({ ...line, unusableFields: describeError(error) })}\n`;
    }
}
