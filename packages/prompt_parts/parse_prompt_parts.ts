/** Largest number of parts that are considered; a prompt has a handful. */
const MAXIMUM_PARTS = 64;
/** Largest number of characters of a key; reports between instances allow no more. */
const MAXIMUM_KEY_CHARACTERS = 256;

/**
 * Lists the parts of a prompt that other requests to the same service may share. The last part belongs to the request
 * itself.
 *
 * @param service Name of the service that runs the request.
 * @param header Parts in order, as comma-separated ids with numbers of tokens; undefined if the request names none.
 * @returns Keys of the parts, each with the name of the service.
 * @example
 * ```ts
 * parsePromptParts("models", "5c1e:800,91bd:410,e440:250"); // ["models/5c1e", "models/91bd"]
 * ```
 */
export function parsePromptParts(service: string, header: string | undefined): string[] {
    if (header === undefined) {
        return [];
    }
    const ids = header.split(",").map(part => part.slice(0, Math.max(0, part.lastIndexOf(":"))).trim());
    const keys = ids.slice(0, -1).filter(id => id !== "").map(id => `${service}/${id}`);
    return [...new Set(keys)].filter(key => key.length <= MAXIMUM_KEY_CHARACTERS).slice(-MAXIMUM_PARTS);
}
