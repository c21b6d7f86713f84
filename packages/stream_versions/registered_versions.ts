import type { RegisteredServer } from "../directory/mod.ts";

/** Servers of a service whose streams callers may take up. */
export interface RegisteredVersions {
    servers: RegisteredServer[];
    /** Time in milliseconds after the last server of a version has left, for which its streams may be taken up. */
    lifetimeMilliseconds: number;
}
