import { setFlagsFromString } from "node:v8";

/** Flags of V8 that have it recompile WebAssembly which runs often. */
const OPTIMIZER_FLAGS = ["wasm-tier-up", "wasm-dynamic-tiering"];

/**
 * Leaves WebAssembly as V8's baseline compiler made it. The parser of undici is one long function: its optimization takes
 * some 40 MB for a moment, of which a part is never given back. Has to be called before such a module is loaded.
 *
 * @example
 * ```ts
 * skipWebAssemblyOptimizer();
 * await import("undici");
 * ```
 */
export function skipWebAssemblyOptimizer(): void {
    OPTIMIZER_FLAGS.forEach(flag => setFlagsFromString(`--no-${flag}`));
}
