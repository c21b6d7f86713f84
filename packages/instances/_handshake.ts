import { createHmac, timingSafeEqual } from "node:crypto";
import * as z from "zod";

/** Messages of the challenge-response handshake that opens each connection, and its proofs (HMAC-SHA-256). */
export const handshake = {
    /** First message, sent by the server. */
    challenge: z.object({ nonce: z.string().max(64) }),
    /** The client's response to the challenge. */
    response: z.object({
        role: z.enum(["instance", "operator"]),
        name: z.string().max(64),
        incarnation: z.string().max(64),
        nonce: z.string().max(64),
        proof: z.string().max(64),
    }),
    /** Last message, with the proof of the server. */
    welcome: z.object({ name: z.string().max(64), incarnation: z.string().max(64), proof: z.string().max(64) }),

    /** Computes the proof that one side knows the shared secret. */
    prove(secret: string, side: "client" | "server", ...fields: string[]): string {
        return createHmac("sha256", secret).update(JSON.stringify([side, ...fields])).digest("hex");
    },

    /** Compares two proofs in constant time. */
    matches(left: string, right: string): boolean {
        const leftBytes = Buffer.from(left);
        const rightBytes = Buffer.from(right);
        return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
    },
};
