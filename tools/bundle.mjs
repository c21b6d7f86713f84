import { build } from "esbuild";
import { readFile } from "node:fs/promises";

/** Options that all bundles share. */
const COMMON_OPTIONS = {
    outExtension: { ".js": ".cjs" },
    bundle: true,
    platform: "node",
    format: "cjs",
    mainFields: ["module", "main"],
    target: "node20",
    logLevel: "warning",
};

/** Bundles the router and the development program into `dist/`. */
export async function bundle() {
    const { version } = JSON.parse(await readFile("package.json", "utf8"));
    await build({
        ...COMMON_OPTIONS,
        entryPoints: {
            laburnumslip: "packages/operators/main.ts",
            development: "packages/development/main.ts",
        },
        outdir: "dist",
        define: { LABURNUMSLIP_VERSION: JSON.stringify(version) },
    });
}

/** Bundles the router for the users' platform (`platform/`) into `target/`. */
export async function bundlePlatform() {
    await build({
        ...COMMON_OPTIONS,
        entryPoints: { laburnumslip: "platform/main.ts" },
        outdir: "target",
        minify: true,
        keepNames: true,
    });
}

/** Bundles the soak test of the router for the users' platform into `target/`. */
export async function bundlePlatformSoak() {
    await build({
        ...COMMON_OPTIONS,
        entryPoints: { soak: "platform/stand_ins/soak/main.ts" },
        outdir: "target",
    });
}
