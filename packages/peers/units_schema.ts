import * as z from "zod";
import { isRecordOf } from "./_is_record_of.ts";

/**
 * Schema of units by key. Its check is a plain function, since reports with such fields arrive many times a second and
 * the library's check of each entry costs several times as much.
 */
export const unitsSchema = z.custom<Record<string, number>>(value => isRecordOf(value, Number.isFinite));
