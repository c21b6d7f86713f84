import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterAll, afterEach, beforeAll, expect, test, vi } from "vitest";
import type { GatewaySettings } from "./gateway_settings.ts";
import { gatewaySettingsSchema } from "./gateway_settings_schema.ts";
import { loadGatewaySettings } from "./load_gateway_settings.ts";

const REQUIRED = {
    name: "instance-1",
    failureDomain: "north",
    callersAddress: "10.0.0.5:8080",
    readinessAddress: "10.0.0.5:8081",
    instancesAddress: "10.0.0.5:8082",
    storeAddress: "10.0.0.9:8083",
};

let folder: string;

beforeAll(async () => {
    folder = await mkdtemp(join(tmpdir(), "laburnumslip-settings-"));
});

afterAll(async () => {
    await rm(folder, { recursive: true });
});

afterEach(() => {
    vi.restoreAllMocks();
});

async function load(settings: Record<string, unknown>): ReturnType<typeof loadGatewaySettings> {
    const file = join(folder, "settings.jsonc");
    await writeFile(file, JSON.stringify(settings));
    return await loadGatewaySettings(file);
}

const defaults: GatewaySettings = gatewaySettingsSchema.parse(REQUIRED);
const goodSeeds = { seedAddresses: ["10.0.0.6:8082", "[::1]:8082"] };

// Guards against processes that end at their start over a setting that serving does not need.
test.each([
    [{ metricsAddress: "10.0.0.5:" }, {}, ["metricsAddress"]],
    [{ metricsAddress: 9_100 }, {}, ["metricsAddress"]],
    [{ seedAddresses: ["10.0.0.6:8082", "nowhere", 7, "[::1]:8082", "10.0.0.7:99999"] }, goodSeeds, [
        "seedAddresses.1",
        "seedAddresses.2",
        "seedAddresses.4",
    ]],
    [{ seedAddresses: "10.0.0.6:8082" }, {}, ["seedAddresses"]],
    [{ memoryMegabytes: 199.5 }, { memoryMegabytes: 199.5 }, []],
    [{ maximumPauseMilliseconds: -1 }, {}, ["maximumPauseMilliseconds"]],
    [{ backendSourceAddress: "fd00::5" }, { backendSourceAddress: "fd00::5" }, []],
    [{ backendSourceAddress: "10.0.0.5:80" }, {}, ["backendSourceAddress"]],
    [{ unknownSetting: 1, metricsAddress: "", bounds: { failClosed: false } }, {}, [
        "metricsAddress",
        "unknownSetting",
    ]],
    [{ bounds: { graceSeconds: -1, retryRatio: "much", retrySlack: 3 } }, {
        bounds: { ...defaults.bounds, retrySlack: 3 },
    }, ["bounds.graceSeconds", "bounds.retryRatio"]],
])("settings with %j are used without what cannot be used", async (changes, used, leftOut) => {
    const loaded = (await load({ ...REQUIRED, ...changes }))._unsafeUnwrap();
    expect(loaded.settings).toEqual({ ...defaults, ...used });
    expect(loaded.leftOut.map(({ path }) => path).sort()).toEqual(leftOut);
});

// Guards against a budget that exceeds the process, since a limit that is too small or a text becomes the default.
test.each([
    [12, 12],
    ["160", 160],
    [" 12 ", 12],
    [0.25, 1],
    [0, 1],
    [-3, 1],
    ["160 MB", 150],
    ["", 150],
    [{}, 150],
    [[120], 150],
])("a memory limit of %j megabytes counts as %i in a process that may use 150", async (memoryMegabytes, used) => {
    vi.spyOn(process, "constrainedMemory").mockReturnValue(150_000_000);
    const loaded = (await load({ ...REQUIRED, memoryMegabytes }))._unsafeUnwrap();
    expect(loaded.settings).toEqual({ ...defaults, memoryMegabytes: used });
    expect(loaded.leftOut).toMatchObject([{
        path: "memoryMegabytes",
        message: expect.stringContaining(`; ${used} is used`) as unknown,
    }]);
});

test.each([0, 2 ** 63])("an unusable memory limit counts as the default beside one of %i bytes", async bytes => {
    vi.spyOn(process, "constrainedMemory").mockReturnValue(bytes);
    const loaded = (await load({ ...REQUIRED, memoryMegabytes: "much" }))._unsafeUnwrap();
    expect(loaded.settings).toEqual(defaults);
});

// Guards against keys that count as valid without confirmation since the bound on that cannot be read.
test.each([{ bounds: { failClosed: "yes" } }, { bounds: [] }])("settings with %j keep keys closed", async changes => {
    const loaded = (await load({ ...REQUIRED, ...changes }))._unsafeUnwrap();
    expect(loaded.settings.bounds).toEqual({ ...defaults.bounds, failClosed: true });
});

// Guards against keys that count as valid without confirmation since the field that holds the bound is misspelt.
test.each([
    [{ bound: { failClosed: true } }, true],
    [{ "bounds.failClosed": true }, true],
    [{ unknownSetting: 1, bounds: { retrySlack: 3 } }, true],
    [{ unknownSetting: 1, bounds: { failClosed: "no" } }, true],
    [{ unknownSetting: 1, bounds: 7 }, true],
    [{ unknownSetting: 1, bounds: { failClosed: false } }, false],
    [{ bounds: { retrySlack: 3 } }, false],
])("settings with %j keep keys closed: %j", async (changes, failClosed) => {
    const loaded = (await load({ ...REQUIRED, ...changes }))._unsafeUnwrap();
    expect(loaded.settings.bounds.failClosed).toBe(failClosed);
});

test.each(Object.keys(REQUIRED))("settings without a usable %s are invalid", async name => {
    for (const value of [undefined, "", 7]) {
        expect((await load({ ...REQUIRED, [name]: value })).isErr()).toBe(true);
    }
});
