import { createHmac, timingSafeEqual } from "node:crypto";
import * as z from "zod";

/** Messages and proofs of the handshake that opens each connection. */
export const handshake = {
    /** First message of the server. */
    challenge: z.object({ nonce: z.string().max(64) }),
    /** Answer of the client. */
    response: z.object({
        role: z.enum(["instance", "operator"]),
        name: z.string().max(64),
        incarnation: z.string().max(64),
        nonce: z.string().max(64),
        proof: z.string().max(64),
    }),
    /** Last message of the server. */
    welcome: z.object({ name: z.string().max(64), incarnation: z.string().max(64), proof: z.string().max(64) }),

    /** Computes the proof that one side knows the secret. */
    prove(secret: string, side: "client" | "server", ...parts: string[]): string {
        return createHmac("sha256", secret).update(JSON.stringify([side, ...parts])).digest("hex");
    },

    /** Compares two proofs in constant time. */
    matches(left: string, right: string): boolean {
        const leftBytes = Buffer.from(left);
        const rightBytes = Buffer.from(right);
        return leftBytes.length === rightBytes.length && timingSafeEqual(leftBytes, rightBytes);
    },
};
