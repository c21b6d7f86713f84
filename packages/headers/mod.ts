/** HTTP headers that a router passes on. */
export { relayHeaders } from "./relay_headers.ts";
export { removeHopByHopHeaders } from "./remove_hop_by_hop_headers.ts";
