import { build } from "esbuild";
import { existsSync, readdirSync } from "node:fs";

// The options of `tools/bundle.mjs`.
const entryPoints = Object.fromEntries(
    readdirSync("review").filter(name => existsSync(`review/${name}/case.ts`))
        .map(name => [`case_${name}`, `review/${name}/case.ts`]),
);
await build({
    outExtension: { ".js": ".mjs" },
    bundle: true,
    platform: "node",
    format: "esm",
    mainFields: ["module", "main"],
    target: "node20",
    logLevel: "warning",
    entryPoints,
    outdir: "review/target",
});
