import type { RegisteredServer } from "../directory/mod.ts";
import type { DecodeWaiter } from "./decode_waiter.ts";
import type { GatewayContext } from "./gateway_context.ts";

/**
 * Narrows engines to those that may run a stream which its caller can take up. One that goes on is never sent to an engine whose
 * process is another one than the registered one. One that begins does so at a version that stands on the store's list, so that it is
 * known of once all instances have ended; else at any registered process, or at any engine if no other one serves on.
 */
export function preferListedVersions(
    engines: RegisteredServer[],
    { request, service, softwareVersion }: DecodeWaiter,
    { streamVersions, engineProcesses }: Pick<GatewayContext, "streamVersions" | "engineProcesses">,
): RegisteredServer[] {
    if (!request.route.resumable) {
        return engines;
    }
    const registered = engines.filter(server => !engineProcesses.isOutdated(server));
    if (softwareVersion !== undefined) {
        return registered;
    }
    const listed = registered.filter(server => streamVersions.isListed(service, server.softwareVersion));
    return [listed, registered].find(some => some.some(({ leaving }) => !leaving)) ?? engines;
}
