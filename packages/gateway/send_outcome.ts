import type { BackendResponse } from "../backends/mod.ts";

/** How one send of a request to a plain service ended. */
export type SendOutcome =
    | {
        kind: "answered";
        response: BackendResponse;
        /** The body, in pieces. */
        body: Buffer[];
        /** Whether stray bytes have followed the answer, so that another server should be asked where that is allowed. */
        isDoubtful: boolean;
    }
    | {
        kind: "not-run" | "may-have-run";
        message: string;
        /** Whether the deadline of the request has passed. */
        isOutOfTime?: boolean;
    };
