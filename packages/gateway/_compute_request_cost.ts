import type { OrganisationProfile } from "../directory/mod.ts";
import type { GatewayRequest } from "./gateway_request.ts";

/** Computes the units of its organisation's limit that a request takes. */
export function computeRequestCost(organisation: OrganisationProfile, request: GatewayRequest): number {
    if (!organisation.countsTokens) {
        return 1;
    }
    const tokens = request.promptTokens + request.outputTokens;
    return tokens > 0 ? tokens : organisation.defaultRequestTokens;
}
