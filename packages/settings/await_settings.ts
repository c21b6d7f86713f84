import type { Result } from "neverthrow";
import { monotonicMilliseconds, sleep } from "../clocks/mod.ts";
import type { Logger } from "../logs/mod.ts";

/** Time in milliseconds in which the settings file may be missing or incomplete since it is being written. */
const WAIT_MILLISECONDS = 10_000;
const RETRY_MILLISECONDS = 100;

/**
 * Reads settings, again for some time while their file is missing or incomplete.
 *
 * @param load Reads the settings once; its errors are one line each.
 * @param logger Logs that the settings are waited for.
 * @returns The settings, or the errors of the last try.
 * @example
 * ```ts
 * const settings = await awaitSettings(() => loadSettings("instance-1.jsonc"), logger);
 * ```
 */
export async function awaitSettings<T>(
    load: () => Promise<Result<T, string[]>>,
    logger: Logger,
): Promise<Result<T, string[]>> {
    const giveUpAt = monotonicMilliseconds() + WAIT_MILLISECONDS;
    for (let isFirst = true;; isFirst = false) {
        const settings = await load();
        if (settings.isOk() || monotonicMilliseconds() >= giveUpAt) {
            return settings;
        }
        if (isFirst) {
            settings.error.forEach(problem => logger.warn("waiting for the settings", { problem }));
        }
        await sleep(RETRY_MILLISECONDS);
    }
}
