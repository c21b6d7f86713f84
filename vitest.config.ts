import { defineConfig } from "vitest/config";

export default defineConfig({
    test: {
        include: ["packages/**/*_test.ts", "platform/*_test.ts"],
        globalSetup: ["tools/test_setup.mjs"],
        setupFiles: ["tools/pass_over_known_failures.mjs"],
        testTimeout: 120_000,
        hookTimeout: 120_000,
        maxWorkers: 4,
    },
});
