import { build } from "esbuild";

/** Bundles the program that runs on the users' platform into `target/`. */
await build({
    entryPoints: { laburnumslip: "platform/main.ts" },
    outdir: "target",
    outExtension: { ".js": ".cjs" },
    bundle: true,
    platform: "node",
    format: "cjs",
    mainFields: ["module", "main"],
    target: "node20",
    minify: true,
    keepNames: true,
    logLevel: "warning",
});
