import type { RegisteredServer } from "../directory/mod.ts";
import { isRankedAbove } from "./_is_ranked_above.ts";

/** What bears on which servers show best whether the links stand. */
interface ProbeChoice {
    servers: RegisteredServer[];
    count: number;
    /** Ids of servers whose failures made the links suspect. */
    suspects: ReadonlySet<string>;
    /** Servers that were probed just before. */
    probed: RegisteredServer[];
    /** Time of the last answer of a server; negative infinity if there was none. */
    answeredAt(id: string): number;
    random(): number;
}

/**
 * Chooses servers to probe, none that was probed just before. The first is the one that answered last, since it shows that a
 * part of the servers is reached; the others are of services and failure domains that are not among those before.
 */
export function chooseProbed(choice: ProbeChoice): RegisteredServer[] {
    const { servers, count, suspects, probed, answeredAt, random } = choice;
    const left = servers.filter(server => !probed.includes(server)).map(server => ({ server, draw: random() }));
    const chosen: RegisteredServer[] = [];
    const seen = [...probed, ...servers.filter(({ id }) => suspects.has(id))];
    while (chosen.length < count && left.length > 0) {
        const newness = ({ service, failureDomain }: RegisteredServer) =>
            Number(seen.every(other => other.service !== service))
            + Number(seen.every(other => other.failureDomain !== failureDomain));
        const ranks = ({ server, draw }: { server: RegisteredServer; draw: number; }) => {
            const isSound = Number(!suspects.has(server.id));
            const at = answeredAt(server.id);
            return chosen.length === 0
                ? [isSound, at, newness(server), draw]
                : [newness(server), isSound, at, draw];
        };
        const best = left.reduce((first, second) => isRankedAbove(ranks(second), ranks(first)) ? second : first);
        left.splice(left.indexOf(best), 1);
        chosen.push(best.server);
        seen.push(best.server);
    }
    return chosen;
}
