import { createHash } from "node:crypto";

/**
 * Computes the fingerprint by which a request is recognised when its caller sends it again.
 *
 * @param organisation Name of the organisation.
 * @param model Name of the model.
 * @param prompt The prompt.
 * @returns A hash in hexadecimal digits.
 * @example
 * ```ts
 * fingerprintRequest("north", "drafting", "Hello").length; // 32
 * ```
 */
export function fingerprintRequest(organisation: string, model: string, prompt: string): string {
    const text = JSON.stringify([organisation, model, prompt]);
    return createHash("sha256").update(text).digest("hex").slice(0, 32);
}
