import * as z from "zod";

const MAXIMUM_PORT = 65_535;

/**
 * Schema of an address: an IPv4 address, an IPv6 address in brackets or a host name, and a port.
 *
 * @example
 * ```ts
 * addressSchema.safeParse("[::1]:8080").success; // true
 * ```
 */
export const addressSchema = z.string()
    .regex(
        /^(\[[0-9a-fA-F:.]+\]|[0-9A-Za-z]([0-9A-Za-z.-]*[0-9A-Za-z])?):\d{1,5}$/,
        'expected a host and a port, such as "127.0.0.1:8080", "[::1]:8080" or "host.example:8080"',
    )
    .refine(
        address => Number(address.slice(address.lastIndexOf(":") + 1)) <= MAXIMUM_PORT,
        "expected a port up to 65535",
    );
