import type { TrafficRoute } from "../directory/mod.ts";

/** Returns the name under which a route's prefills are counted for the judgement of versions, beside its decodes. */
export function prefillRouteName(route: TrafficRoute): string {
    return `${route.name}:prefill`;
}
