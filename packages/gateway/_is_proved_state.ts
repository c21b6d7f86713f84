import type { ItemReplica, StoredItem } from "../replica/mod.ts";
import type { RolloutPhase, RolloutState } from "../rollouts/mod.ts";
import { ERA_WITNESS_KEY } from "./_era_witness_key.ts";

/**
 * Whether a stored state tells how far a roll-out has come. One from a copy of an earlier era may have been followed by
 * another, unless it is final: a move by a roll-back, or a trial by the end of the old servers. Former builds name no era.
 *
 * @param state The state.
 * @param item The item that holds it.
 * @param replica Replica of the store's items.
 * @param known Phase that this instance knows; with one, it has seen what was written last.
 */
export function isProvedState(
    { phase, era }: RolloutState,
    item: StoredItem,
    replica: Pick<ItemReplica, "getStored">,
    known: RolloutPhase | undefined,
): boolean {
    if (phase === "completed" || phase === "rolled-back" || era === item.era) {
        return true;
    }
    return era === undefined && (known !== undefined || isSinceReturn(item, replica.getStored(ERA_WITNESS_KEY)));
}

/** Whether an item was written later than the one that names the present era. Without the latter, there was no return. */
function isSinceReturn(item: StoredItem, witness: StoredItem | undefined): boolean {
    return !witness || witness.value === String(item.era) && item.revision > witness.revision;
}
