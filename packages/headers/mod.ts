/** HTTP headers that a router passes on. */
export { removeHopByHopHeaders } from "./remove_hop_by_hop_headers.ts";
