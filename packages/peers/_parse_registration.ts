import type { Peer } from "./peer.ts";
import { peerSchema } from "./peer_schema.ts";

/**
 * Parses the item under which an instance is registered.
 *
 * @throws {Error} If the item is not the registration of the instance that its key names.
 */
export function parseRegistration(name: string, value: string | undefined): Peer {
    const peer = peerSchema.parse(JSON.parse(value ?? ""));
    if (peer.name !== name) {
        throw new Error(`The item names ${peer.name}`);
    }
    return peer;
}
