import type * as z from "zod";
import type { serverLimitNoticeSchema } from "./server_limit_notice_schema.ts";

/** What a server has said of its limit. */
export type ServerLimitNotice = z.infer<typeof serverLimitNoticeSchema>;
