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

/**
 * Bundles a program into two files: `NAME.cjs` handles signals and then loads `NAME_program.cjs`. A signal that comes while
 * Node.js reads and parses a file ends the process, so the first one has to be short.
 */
async function bundleInTwoFiles(name, { entry, program, ...options }) {
    const loadProgram = {
        name: "load-program",
        setup: ({ onResolve }) =>
            onResolve(
                { filter: /./ },
                ({ kind }) => kind === "dynamic-import" ? { path: `./${name}_program.cjs`, external: true } : undefined,
            ),
    };
    await Promise.all([
        build({
            ...COMMON_OPTIONS,
            ...options,
            entryPoints: { [name]: entry },
            // Without the loader of ECMAScript modules, which takes longer to start.
            supported: { "dynamic-import": false },
            plugins: [loadProgram],
        }),
        build({ ...COMMON_OPTIONS, ...options, entryPoints: { [`${name}_program`]: program } }),
    ]);
}

/**
 * Options that shorten a program, whose source a process holds in memory. Names stay, for the stacks of errors; `keepNames`
 * would define them anew for each closure that the program creates.
 */
const SHORTENING_OPTIONS = { minifyWhitespace: true, minifySyntax: true };

/** Options of the router's bundles in `dist/`. */
async function createOptions() {
    const { version } = JSON.parse(await readFile("package.json", "utf8"));
    return { outdir: "dist", define: { LABURNUMSLIP_VERSION: JSON.stringify(version) } };
}

/** Bundles the router and the development program into `dist/`. */
export async function bundle() {
    const options = await createOptions();
    await Promise.all([
        bundleInTwoFiles("laburnumslip", {
            ...options,
            ...SHORTENING_OPTIONS,
            entry: "packages/operators/main.ts",
            program: "packages/operators/run_program.ts",
        }),
        build({ ...COMMON_OPTIONS, ...options, entryPoints: { development: "packages/development/main.ts" } }),
    ]);
}

/** Bundles the router into the one file that an executable embeds, `dist/embedded.cjs`. */
export async function bundleEmbedded() {
    await build({
        ...COMMON_OPTIONS,
        ...await createOptions(),
        ...SHORTENING_OPTIONS,
        entryPoints: { embedded: "packages/operators/main.ts" },
    });
}

/** Bundles the router for the users' platform (`platform/`) into `target/`. */
export async function bundlePlatform() {
    await bundleInTwoFiles("laburnumslip", {
        entry: "platform/main.ts",
        program: "platform/run_instance.ts",
        outdir: "target",
        ...SHORTENING_OPTIONS,
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
