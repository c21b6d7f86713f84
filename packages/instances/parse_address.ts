/**
 * Splits an address into host and port.
 *
 * @param address IP address and port, such as `127.0.0.1:80` or `[::1]:80`.
 * @returns Host, without brackets, and port.
 * @example
 * ```ts
 * parseAddress("127.0.0.1:80"); // { host: "127.0.0.1", port: 80 }
 * ```
 */
export function parseAddress(address: string): { host: string; port: number; } {
    const colon = address.lastIndexOf(":");
    const host = address.slice(0, colon).replace(/^\[|\]$/g, "");
    return { host, port: Number(address.slice(colon + 1)) };
}
