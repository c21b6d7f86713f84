/** Ports that are closed without a reset of connections that wait to be accepted. */
export { PortCloser } from "./port_closer.ts";
