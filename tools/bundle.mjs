import { build } from "esbuild";
import { readFile } from "node:fs/promises";

/** Bundles the router and the development program into `dist/`. */
export async function bundle() {
    const { version } = JSON.parse(await readFile("package.json", "utf8"));
    await build({
        entryPoints: {
            laburnumslip: "packages/operators/main.ts",
            development: "packages/development/main.ts",
        },
        outdir: "dist",
        outExtension: { ".js": ".cjs" },
        bundle: true,
        platform: "node",
        format: "cjs",
        mainFields: ["module", "main"],
        target: "node20",
        define: { LABURNUMSLIP_VERSION: JSON.stringify(version) },
        logLevel: "warning",
    });
}
