/** HTTP headers that a router passes on. */
export { filterRawHeaders } from "./filter_raw_headers.ts";
export { removeHopByHopHeaders } from "./remove_hop_by_hop_headers.ts";
