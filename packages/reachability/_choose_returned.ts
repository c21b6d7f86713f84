import type { RegisteredServer } from "../directory/mod.ts";
import { isRankedAbove } from "./_is_ranked_above.ts";

/** Servers probed while isolated. */
interface ReturnChoice {
    servers: RegisteredServer[];
    count: number;
    /** Ids of servers that have answered the last probes. */
    answered: ReadonlySet<string>;
    /** Times of the last probes while isolated. */
    probedAt: ReadonlyMap<string, number>;
    random(): number;
}

/** Chooses the servers that show whether the links are back: those that have just answered, else each in turn. */
export function chooseReturned({ servers, count, answered, probedAt, random }: ReturnChoice): RegisteredServer[] {
    const ranked = servers.map(server => {
        const { id } = server;
        return { server, ranks: [Number(answered.has(id)), -(probedAt.get(id) ?? Number.NEGATIVE_INFINITY), random()] };
    });
    ranked.sort((first, second) => isRankedAbove(first.ranks, second.ranks) ? -1 : 1);
    return ranked.slice(0, count).map(({ server }) => server);
}
