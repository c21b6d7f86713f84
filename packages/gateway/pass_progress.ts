import type { DecodeReservation } from "./decode_reservation.ts";
import type { PrefillResult } from "./prefill_result.ts";

/** State of a stream that is kept from one pass to the next. */
export interface PassProgress {
    /** Id of the last event that was sent to the caller. */
    lastEventId: number | undefined;
    /** Software version that began the stream, the only one at which it may go on; undefined before its first event. */
    softwareVersion: string | undefined;
    /**
     * Version of the process that has written the first events, once it is identified; undefined if no event has come, or if the version
     * was known before.
     */
    identified: Promise<string | undefined> | undefined;
    /** Number of passes that may have run at a decode engine. */
    runs: number;
    /** Whether an earlier pass has computed the prompt or tried to. */
    prefillAttempted: boolean;
    /** Whether the next pass uses a local prefill, since the prefill result could not be fetched. */
    localPrefill: boolean;
    /** Prefill result that the decode engine `by` did not accept; the next pass offers it to another engine. */
    refused: { prefillResult: PrefillResult; by: string; } | undefined;
    /** Memory of another engine, with a retry spent, at which the next pass goes on. */
    successor: DecodeReservation | undefined;
    /** Whether an engine was given up for a successor and no other one has run the stream since. */
    mustGoOn: boolean;
    /** Ids of decode engines that the next pass must not use. */
    excluded: Set<string>;
}
