/** Filtering of the HTTP headers of forwarded messages. */
export { filterRawHeaders } from "./filter_raw_headers.ts";
export { removeHopByHopHeaders } from "./remove_hop_by_hop_headers.ts";
