import type { InstanceIdentity } from "./instance_identity.ts";

/**
 * Joins name and incarnation to an id.
 *
 * @param identity The instance.
 * @returns An id that is unique to the process.
 * @example
 * ```ts
 * instanceId({ name: "a", incarnation: "1f" }); // "a/1f"
 * ```
 */
export function instanceId(identity: InstanceIdentity): string {
    return `${identity.name}/${identity.incarnation}`;
}
