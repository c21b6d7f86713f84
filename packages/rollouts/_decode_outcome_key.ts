import type { OutcomeKey } from "./outcome_key.ts";

const KEY = /^([^|]*)\|(\d+)\|(old|new)\|(failed|\d+)\|(.*)$/s;

/** Decodes the key of a count of outcomes; undefined for a text of another form. */
export function decodeOutcomeKey(text: string): OutcomeKey | undefined {
    const [, order, period, version, bucket, route] = KEY.exec(text) ?? [];
    if (order === undefined || route === undefined) {
        return undefined;
    }
    return {
        order,
        period: Number(period),
        route,
        version: version === "new" ? "new" : "old",
        bucket: bucket === "failed" ? undefined : Number(bucket),
    };
}
