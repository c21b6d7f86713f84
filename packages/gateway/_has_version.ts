import type { RegisteredServer } from "../directory/mod.ts";
import type { DecodeWaiter } from "./decode_waiter.ts";

/** Whether an engine has the software version that a waiting request needs. */
export function hasVersion(server: RegisteredServer, { softwareVersion }: DecodeWaiter): boolean {
    return softwareVersion === undefined || server.softwareVersion === softwareVersion;
}
