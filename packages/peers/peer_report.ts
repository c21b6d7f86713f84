import type * as z from "zod";
import type { peerReportSchema } from "./peer_report_schema.ts";

/** Report of an instance on itself to its peers. */
export type PeerReport = z.infer<typeof peerReportSchema>;
