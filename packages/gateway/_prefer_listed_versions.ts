import type { RegisteredServer } from "../directory/mod.ts";
import type { DecodeWaiter } from "./decode_waiter.ts";
import type { GatewayContext } from "./gateway_context.ts";

/**
 * Narrows engines to those at whose software version a stream may begin: one that stands on the store's list, so that it
 * is known of once all instances have ended. Engines whose process is another one than the registered one are left out, too. All
 * engines stay if none of those that serve on has such a version.
 */
export function preferListedVersions(
    engines: RegisteredServer[],
    { request, service, softwareVersion }: DecodeWaiter,
    { streamVersions, engineProcesses }: Pick<GatewayContext, "streamVersions" | "engineProcesses">,
): RegisteredServer[] {
    if (softwareVersion !== undefined || !request.route.resumable) {
        return engines;
    }
    const listed = engines.filter(server =>
        streamVersions.isListed(service, server.softwareVersion) && !engineProcesses.isOutdated(server)
    );
    return listed.some(({ leaving }) => !leaving) ? listed : engines;
}
