import { expect, test } from "vitest";
import { preferListedVersions } from "./_prefer_listed_versions.ts";
import type { DecodeWaiter } from "./decode_waiter.ts";
import type { GatewayContext } from "./gateway_context.ts";

// Guards against streams of versions that nobody lists or at processes without an entry, and against engines left unused where there are no others.
test.each([
    ["a listed version is preferred", ["v1", "v2"], ["v1"], undefined, true, ["v1"]],
    ["no version is listed", ["v1", "v2"], [], undefined, true, ["v1", "v2"]],
    ["all listed engines leave", ["v1 leaving", "v2"], ["v1"], undefined, true, ["v1", "v2"]],
    ["a stream goes on at its version", ["v1", "v2"], ["v1"], "v2", true, ["v1", "v2"]],
    ["streams of the route are not taken up", ["v1", "v2"], ["v1"], undefined, false, ["v1", "v2"]],
    ["another process answers at a listed engine", ["v1 outdated", "v1", "v2"], ["v1"], undefined, true, ["v1"]],
    ["the same, no other engine is listed", ["v1 outdated", "v2"], ["v1"], undefined, true, ["v2"]],
    ["the same at all engines", ["v1 outdated", "v2 outdated"], ["v1"], undefined, true, ["v1", "v2"]],
    ["the same where a stream goes on", ["v1 outdated", "v1"], ["v1"], "v1", true, ["v1"]],
])("engines at which a stream may begin: %s", (_name, engines, listed, softwareVersion, resumable, expected) => {
    const servers = engines.map(text => ({
        softwareVersion: text.split(" ")[0],
        leaving: text.endsWith("leaving"),
        isOutdated: text.endsWith("outdated"),
    }));
    const waiter = { service: "models", softwareVersion, request: { route: { resumable } } } as unknown as DecodeWaiter;
    const streamVersions = { isListed: (_service: string, version: string) => listed.includes(version) };
    const engineProcesses = { isOutdated: (server: unknown) => (server as typeof servers[number]).isOutdated };
    const context = { streamVersions, engineProcesses } as unknown as GatewayContext;
    const chosen = preferListedVersions(servers as never, waiter, context);
    expect(chosen.map(server => server.softwareVersion)).toEqual(expected);
});
