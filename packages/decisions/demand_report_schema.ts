import * as z from "zod";

/** Largest number of urgencies of a service in a report. */
const MAXIMUM_URGENCIES = 64;

/**
 * Schema of a report on demand, by service. Each entry has an urgency, the number of waiting requests, their tokens, and
 * the granted and refused tokens per second.
 */
export const demandReportSchema = z.record(
    z.string(),
    z.array(z.tuple([z.number(), z.number(), z.number(), z.number(), z.number()])).max(MAXIMUM_URGENCIES),
);
