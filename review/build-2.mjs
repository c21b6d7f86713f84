import { build } from "esbuild";
import { existsSync } from "node:fs";

/** Bundles the cases' programs, with the stand-ins that they use, into `target/review-2/`. */
const numbers = [6, 7, 8, 9, 10].filter(number => existsSync(`review/${number}/case.ts`));
await build({
    entryPoints: Object.fromEntries(numbers.map(number => [`case-${number}`, `review/${number}/case.ts`])),
    outdir: "target/review-2",
    outExtension: { ".js": ".cjs" },
    bundle: true,
    platform: "node",
    format: "cjs",
    mainFields: ["module", "main"],
    target: "node20",
    logLevel: "warning",
});
