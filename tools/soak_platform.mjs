import { spawn } from "node:child_process";
import { bundlePlatform, bundlePlatformSoak } from "./bundle.mjs";

await Promise.all([bundlePlatform(), bundlePlatformSoak()]);
spawn(process.execPath, ["target/soak.cjs", ...process.argv.slice(2)], { stdio: "inherit" })
    .on("exit", code => process.exit(code ?? 1));
