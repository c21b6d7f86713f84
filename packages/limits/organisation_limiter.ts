import { err, ok, type Result } from "neverthrow";
import { monotonicMilliseconds, sleep } from "../clocks/mod.ts";
import type { ConfigurationState } from "../configuration/mod.ts";
import type { InstancePool } from "../instances/mod.ts";
import type { Membership } from "../membership/mod.ts";
import { Refusal } from "../verdicts/mod.ts";
import type { Charge } from "./charge.ts";
import type { ChargeResponse } from "./charge_response.ts";
import { computeLimitShare } from "./compute_limit_share.ts";
import { limitTimes } from "./limit_times.ts";
import { SHARES_PER_ORGANISATION } from "./shares_per_organisation.ts";

const CALL_TIMEOUT_MILLISECONDS = 250;
/** Time for which a share is not charged after its home did not respond or had not activated it. */
const UNAVAILABLE_HOME_MILLISECONDS = 500;
const MINIMUM_WAIT_MILLISECONDS = 20;
const MAXIMUM_WAITING_PER_ORGANISATION = 64;

/** Level of a share as its home last reported it to this instance. */
interface ShareHint {
    level: number;
    /** Monotonic time in milliseconds of that report; 0 before the first. */
    at: number;
    /** Monotonic time in milliseconds until which the share is not charged; 0 while its home responds. */
    unavailableUntil: number;
}

/**
 * Charges requests to their organisations' limits at the homes of the shares.
 *
 * @example
 * ```ts
 * const limiter = new OrganisationLimiter(membership, pool, configuration);
 * const charge = await limiter.charge("north", "request-1", 500);
 * if (charge.isOk()) {
 *     limiter.settle(charge.value, 120);
 * }
 * ```
 */
export class OrganisationLimiter {
    readonly #hints = new Map<string, ShareHint[]>();
    readonly #waiting = new Map<string, number>();
    #sequence = 0;

    /**
     * @param membership Determines which instance is the home of a share.
     * @param pool Calls the homes.
     * @param configuration Provides the rates and bursts.
     */
    constructor(
        private readonly membership: Membership,
        private readonly pool: InstancePool,
        private readonly configuration: ConfigurationState,
    ) {}

    /**
     * Charges tokens, after waiting a limited time for the limit to refill if necessary.
     *
     * @param organisation Name of the organisation.
     * @param requestId Id of the request.
     * @param amount Tokens of the prompt and the permitted output.
     * @param signal Ends the wait when the caller disconnects.
     * @returns The charge, which is valid for a dispatch for a limited time, or a refusal.
     */
    async charge(
        organisation: string,
        requestId: string,
        amount: number,
        signal?: AbortSignal,
    ): Promise<Result<Charge, Refusal>> {
        const limits = this.configuration.document.organisations[organisation];
        if (!limits) {
            return err(organisationRemoved());
        }
        const share = computeLimitShare(limits);
        if (amount > share.burstTokens * SHARES_PER_ORGANISATION) {
            const message = `The request may take ${amount} tokens, more than the organisation's burst ever holds`;
            return err(new Refusal(400, "burst-exceeded", "not-run", message));
        }
        const waiting = this.#waiting.get(organisation) ?? 0;
        if (waiting >= MAXIMUM_WAITING_PER_ORGANISATION) {
            return err(rateLimited(1_000));
        }
        this.#waiting.set(organisation, waiting + 1);
        try {
            return await this.#chargeOrWait(organisation, requestId, amount, signal);
        }
        finally {
            this.#waiting.set(organisation, (this.#waiting.get(organisation) ?? 1) - 1);
        }
    }

    /**
     * Returns whether a charge is still valid for a dispatch.
     *
     * @param charge The charge.
     * @returns Whether it is valid.
     */
    isChargeValid(charge: Charge): boolean {
        return monotonicMilliseconds() - charge.requestedAt < limitTimes.chargeValidityMilliseconds;
    }

    /**
     * Refunds the unused part of a charge. If the refund is lost, the organisation loses tokens; the limit still holds.
     *
     * @param charge The charge.
     * @param used Tokens that the request used.
     */
    settle(charge: Charge, used: number): void {
        let left = used;
        for (const part of charge.parts) {
            const partUsed = Math.min(part.amount, left);
            left -= partUsed;
            if (partUsed < part.amount) {
                const { index, id } = part;
                const params = { organisation: charge.organisation, index, id, used: partUsed };
                void this.pool.notify(this.#homeOf(charge.organisation, index), "limits.settle", params);
            }
        }
    }

    async #chargeOrWait(
        organisation: string,
        requestId: string,
        amount: number,
        signal: AbortSignal | undefined,
    ): Promise<Result<Charge, Refusal>> {
        const deadline = monotonicMilliseconds() + limitTimes.maximumWaitMilliseconds;
        while (true) {
            const charge = await this.#tryCharge(organisation, requestId, amount);
            if (charge) {
                return ok(charge);
            }
            if (!this.configuration.document.organisations[organisation]) {
                return err(organisationRemoved());
            }
            const wait = this.#expectedWait(organisation, amount);
            if (monotonicMilliseconds() + wait > deadline || signal?.aborted) {
                return err(this.#createRefusal(organisation, wait));
            }
            await sleep(Math.max(MINIMUM_WAIT_MILLISECONDS, wait), signal);
        }
    }

    #createRefusal(organisation: string, waitMilliseconds: number): Refusal {
        const now = monotonicMilliseconds();
        const reachable = this.#hintsOf(organisation).some(hint => hint.unavailableUntil <= now);
        if (reachable) {
            return rateLimited(waitMilliseconds);
        }
        return new Refusal(503, "limit-unavailable", "not-run", "The organisation's limit is not available", {
            retryAfterSeconds: 1,
        });
    }

    async #tryCharge(organisation: string, requestId: string, amount: number): Promise<Charge | undefined> {
        const requestedAt = monotonicMilliseconds();
        const indexes = this.#indexesByLevel(organisation);
        const { burstTokens } = this.#share(organisation);
        for (const index of amount <= burstTokens ? indexes : []) {
            if (this.#estimateLevel(organisation, index) < amount) {
                continue;
            }
            const part = await this.#chargeShare(organisation, index, requestId, amount, false);
            if (part) {
                return { organisation, amount, requestedAt, parts: [part] };
            }
        }
        return await this.#tryChargeInParts(organisation, requestId, amount, indexes);
    }

    /** Charges a request that no single share can cover to several of them. */
    async #tryChargeInParts(
        organisation: string,
        requestId: string,
        amount: number,
        indexes: number[],
    ): Promise<Charge | undefined> {
        const requestedAt = monotonicMilliseconds();
        const estimates = indexes.map(index => this.#estimateLevel(organisation, index));
        const total = estimates.reduce((sum, estimate) => sum + estimate, 0);
        if (total < amount) {
            return undefined;
        }
        const charge: Charge = { organisation, amount, requestedAt, parts: [] };
        let missing = amount;
        for (const index of indexes) {
            const part = await this.#chargeShare(organisation, index, requestId, missing, true);
            if (part) {
                charge.parts.push(part);
                missing -= part.amount;
            }
            if (missing <= 0) {
                return charge;
            }
        }
        this.settle(charge, 0);
        return undefined;
    }

    async #chargeShare(
        organisation: string,
        index: number,
        requestId: string,
        amount: number,
        partial: boolean,
    ): Promise<Charge["parts"][number] | undefined> {
        const hint = this.#hintsOf(organisation)[index];
        const home = this.#homeOf(organisation, index);
        if (!hint || !home) {
            return undefined;
        }
        const id = `${requestId}.${this.#sequence++}`;
        const params = { organisation, index, id, amount, partial };
        const response = await this.pool.call<ChargeResponse>(home, "limits.charge", params, CALL_TIMEOUT_MILLISECONDS);
        const now = monotonicMilliseconds();
        if (response.isErr() || !response.value.active) {
            hint.unavailableUntil = now + UNAVAILABLE_HOME_MILLISECONDS;
            if (response.isErr() && response.error.verdict === "may-have-run") {
                void this.pool.notify(home, "limits.settle", { organisation, index, id, used: 0 });
            }
            return undefined;
        }
        hint.level = response.value.level;
        hint.at = now;
        hint.unavailableUntil = 0;
        return response.value.granted > 0 ? { index, id, amount: response.value.granted } : undefined;
    }

    #homeOf(organisation: string, index: number) {
        return this.membership.homeOf({ group: `organisation/${organisation}`, index });
    }

    #share(organisation: string): { tokensPerSecond: number; burstTokens: number; } {
        const limits = this.configuration.document.organisations[organisation];
        return limits ? computeLimitShare(limits) : { tokensPerSecond: 0, burstTokens: 0 };
    }

    #hintsOf(organisation: string): ShareHint[] {
        let hints = this.#hints.get(organisation);
        if (!hints) {
            hints = Array.from({ length: SHARES_PER_ORGANISATION }, () => ({
                level: Number.POSITIVE_INFINITY,
                at: 0,
                unavailableUntil: 0,
            }));
            this.#hints.set(organisation, hints);
        }
        return hints;
    }

    #indexesByLevel(organisation: string): number[] {
        const levels = this.#hintsOf(organisation).map((_, index) => this.#estimateLevel(organisation, index));
        // Shares of equal level are tried in random order, so that instances do not all start with the same home.
        return levels
            .map((level, index) => ({ level, index, tie: Math.random() }))
            .sort((left, right) => right.level - left.level || left.tie - right.tie)
            .map(({ index }) => index);
    }

    /** Estimates the level of a share, which other instances charge too; 0 while its home is unreachable. */
    #estimateLevel(organisation: string, index: number): number {
        const hint = this.#hintsOf(organisation)[index];
        const now = monotonicMilliseconds();
        if (!hint || hint.unavailableUntil > now) {
            return 0;
        }
        const { tokensPerSecond, burstTokens } = this.#share(organisation);
        return Math.min(burstTokens, hint.level + tokensPerSecond * (now - hint.at) / 1_000);
    }

    #expectedWait(organisation: string, amount: number): number {
        const { tokensPerSecond } = this.#share(organisation);
        const estimates = this.#hintsOf(organisation).map((_, index) => this.#estimateLevel(organisation, index));
        const missingInOne = amount - Math.max(...estimates);
        const missingInAll = amount - estimates.reduce((sum, estimate) => sum + estimate, 0);
        const waitForOne = missingInOne / tokensPerSecond;
        const waitForAll = missingInAll / (tokensPerSecond * SHARES_PER_ORGANISATION);
        return Math.max(0, Math.min(waitForOne, waitForAll) * 1_000);
    }
}

function rateLimited(waitMilliseconds: number): Refusal {
    const message = "The organisation is over its rate";
    const retryAfterSeconds = Math.max(1, Math.ceil(waitMilliseconds / 1_000));
    return new Refusal(429, "rate-limited", "not-run", message, { retryAfterSeconds });
}

function organisationRemoved(): Refusal {
    return new Refusal(403, "key-unknown", "not-run", "The organisation no longer exists");
}
