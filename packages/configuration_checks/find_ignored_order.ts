import type { ConfigurationDocument } from "../configuration/mod.ts";
import type { Finding } from "./finding.ts";

/** Collections whose first matching entry applies. */
const ORDERED = ["selectors", "routes"] as const;

/**
 * Finds collections that a declaration orders otherwise than they are once it has been applied. Changes set or remove
 * single entries: those that exist keep their places, and new ones come last.
 *
 * @param declared The configuration as declared.
 * @param applied The configuration after the declaration was applied.
 * @returns One finding for each such collection.
 * @example
 * ```ts
 * findIgnoredOrder(declared, applied); // [{ path: "selectors", message: "once applied, their order is large, all" }]
 * ```
 */
export function findIgnoredOrder(
    declared: Pick<ConfigurationDocument, typeof ORDERED[number]>,
    applied: ConfigurationDocument,
): Finding[] {
    return ORDERED.flatMap(path => {
        const names = Object.keys(applied[path]);
        return names.join() === Object.keys(declared[path]).join()
            ? []
            : [{
                path,
                message: `once applied, their order is ${names.join(", ")}; to change it, remove entries first`,
            }];
    });
}
