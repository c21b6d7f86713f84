import * as z from "zod";
import { isRecordOf } from "./_is_record_of.ts";

/** Requests, reserved tokens and prefill tokens in progress, recent failures and recent successes. */
type LoadReport = [number, number, number, number, number];
const LOAD_FIELDS = 5;

/** Schema of loads by server, with a plain function as check for the reason that `unitsSchema` gives. */
export const serverLoadsSchema = z.custom<Record<string, LoadReport>>(value => isRecordOf(value, isLoadReport));

function isLoadReport(value: unknown): boolean {
    return Array.isArray(value) && value.length === LOAD_FIELDS && value.every(Number.isFinite);
}
