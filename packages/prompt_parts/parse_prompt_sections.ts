import type { PromptSection } from "./prompt_section.ts";

/** Largest number of parts that are considered; a prompt has a handful. */
const MAXIMUM_SECTIONS = 64;
/** Largest number of characters of a key. */
const MAXIMUM_KEY_CHARACTERS = 256;

/**
 * Lists the parts of a prompt with their lengths, the last one included, which belongs to the request or its session.
 *
 * @param service Name of the service that runs the request.
 * @param header Parts in order, as comma-separated ids with numbers of tokens; undefined if the request names none.
 * @returns The parts up to the first that is malformed, since an engine keeps no part without those before it.
 * @example
 * ```ts
 * parsePromptSections("models", "5c1e:800,91bd:410"); // [{ key: "models/5c1e", tokens: 800 }, ...]
 * ```
 */
export function parsePromptSections(service: string, header: string | undefined): PromptSection[] {
    const sections: PromptSection[] = [];
    for (const part of header?.split(",", MAXIMUM_SECTIONS) ?? []) {
        const [id = "", tokens = ""] = part.trim().split(":");
        const key = `${service}/${id}`;
        const count = Number(tokens);
        if (
            id === "" || tokens === "" || !(count > 0) || !Number.isFinite(count) || key.length > MAXIMUM_KEY_CHARACTERS
        ) {
            break;
        }
        sections.push({ key, tokens: count });
    }
    return sections;
}
