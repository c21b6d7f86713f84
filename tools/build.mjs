import { execFileSync } from "node:child_process";
import { chmod, copyFile, writeFile } from "node:fs/promises";
import { bundle, bundleEmbedded } from "./bundle.mjs";

/** Marker in the Node.js binary that postject flips to enable the embedded program. */
const SENTINEL_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
const BINARY = "dist/laburnumslip";

/** Builds the Node.js single executable application `dist/laburnumslip`. */
async function buildBinary() {
    await Promise.all([bundle(), bundleEmbedded()]);
    await writeFile(
        "dist/sea.json",
        JSON.stringify({
            main: "dist/embedded.cjs",
            output: "dist/laburnumslip.blob",
            disableExperimentalSEAWarning: true,
        }),
    );
    execFileSync(process.execPath, ["--experimental-sea-config", "dist/sea.json"], { stdio: "inherit" });
    await copyFile(process.execPath, BINARY);
    await chmod(BINARY, 0o755);
    execFileSync("npx", [
        "postject",
        BINARY,
        "NODE_SEA_BLOB",
        "dist/laburnumslip.blob",
        "--sentinel-fuse",
        SENTINEL_FUSE,
    ], {
        stdio: "inherit",
    });
}

if (process.argv.includes("--bundle-only")) {
    await bundle();
}
else {
    await buildBinary();
}
