import type * as z from "zod";
import type { peerReportSchema } from "./peer_report_schema.ts";

/** What an instance tells its peers about itself. */
export type PeerReport = z.infer<typeof peerReportSchema>;
