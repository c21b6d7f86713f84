import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { ConfigurationDocument, ConfigurationState } from "../configuration/mod.ts";
import type { HomedState } from "../homes/mod.ts";
import type { InstanceServer } from "../instances/mod.ts";
import type { Invariants } from "../invariants/mod.ts";
import type { HomeKey } from "../membership/mod.ts";
import { chargeParameters } from "./charge_parameters.ts";
import type { ChargeResponse } from "./charge_response.ts";
import { computeLimitShare } from "./compute_limit_share.ts";
import { limitTimes } from "./limit_times.ts";
import { RefundableTokenBucket } from "./refundable_token_bucket.ts";
import { SHARES_PER_ORGANISATION } from "./shares_per_organisation.ts";

const GROUP_PREFIX = "organisation/";
const INACTIVE: ChargeResponse = { active: false, granted: 0, level: 0 };

/**
 * Shares of organisations' limits that this instance is the home of.
 *
 * A share whose previous home has terminated starts empty, since it is unknown what that home spent last.
 *
 * @example
 * ```ts
 * const shares = new HomedLimitShares(configuration, server, invariants);
 * const homes = new HomeManager([shares], options);
 * ```
 */
export class HomedLimitShares implements HomedState {
    readonly #buckets = new Map<string, RefundableTokenBucket>();

    /**
     * @param configuration Provides the rates and bursts.
     * @param server Serves the instances that charge.
     * @param invariants Checks that no level exceeds its burst.
     */
    constructor(
        private readonly configuration: ConfigurationState,
        server: InstanceServer,
        private readonly invariants: Invariants,
    ) {
        server.handle("limits.charge", chargeParameters.charge, async params => {
            return this.#charge(params.organisation, params.index, params);
        });
        server.handle("limits.settle", chargeParameters.settle, async params => {
            const bucket = this.#buckets.get(bucketId(params.organisation, params.index));
            bucket?.settle(params.id, params.used, monotonicMilliseconds());
            return {};
        });
        configuration.onChange(document => this.#reconfigure(document));
    }

    /** Number of shares held. */
    get count(): number {
        return this.#buckets.size;
    }

    /** @inheritdoc */
    keys(document: ConfigurationDocument): HomeKey[] {
        const indexes = Array.from({ length: SHARES_PER_ORGANISATION }, (_, index) => index);
        return Object.keys(document.organisations).flatMap(name =>
            indexes.map(index => ({ group: `${GROUP_PREFIX}${name}`, index }))
        );
    }

    /** @inheritdoc */
    activate(key: HomeKey, handover: unknown): void {
        const name = key.group.slice(GROUP_PREFIX.length);
        const organisation = this.configuration.document.organisations[name];
        if (!organisation) {
            return;
        }
        const share = computeLimitShare(organisation);
        const now = monotonicMilliseconds();
        const id = bucketId(name, key.index);
        // A handover that arrives late is added to the level that the share has reached since its activation.
        const level = (this.#buckets.get(id)?.level(now) ?? 0) + readLevel(handover);
        this.#buckets.set(id, new RefundableTokenBucket(share.tokensPerSecond, share.burstTokens, level, now));
    }

    /** @inheritdoc */
    deactivate(key: HomeKey): unknown {
        const id = bucketId(key.group.slice(GROUP_PREFIX.length), key.index);
        const level = this.#buckets.get(id)?.level(monotonicMilliseconds()) ?? 0;
        this.#buckets.delete(id);
        return { level };
    }

    #charge(
        organisation: string,
        index: number,
        params: { id: string; amount: number; partial: boolean; },
    ): ChargeResponse {
        const bucket = this.#buckets.get(bucketId(organisation, index));
        if (!bucket) {
            return INACTIVE;
        }
        const now = monotonicMilliseconds();
        bucket.expire(now - limitTimes.settlementMilliseconds);
        const available = Math.floor(bucket.level(now));
        const amount = params.partial ? Math.min(params.amount, Math.max(0, available)) : params.amount;
        const granted = amount > 0 && bucket.charge(params.id, amount, now) ? amount : 0;
        const level = bucket.level(now);
        this.invariants.check("share-level-within-burst", level >= 0 && level <= bucket.burst, { organisation, level });
        return { active: true, granted, level: Math.floor(level) };
    }

    #reconfigure(document: ConfigurationDocument): void {
        const now = monotonicMilliseconds();
        for (const [id, bucket] of this.#buckets) {
            const organisation = document.organisations[id.slice(0, id.lastIndexOf("#"))];
            if (organisation) {
                const share = computeLimitShare(organisation);
                bucket.reconfigure(share.tokensPerSecond, share.burstTokens, now);
            }
        }
    }
}

function bucketId(organisation: string, index: number): string {
    return `${organisation}#${index}`;
}

function readLevel(handover: unknown): number {
    const level = (handover as { level?: unknown; } | undefined)?.level;
    return typeof level === "number" && level > 0 ? level : 0;
}
