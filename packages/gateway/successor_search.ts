import type { DecodeQueue } from "./decode_queue.ts";
import type { DecodeReservation } from "./decode_reservation.ts";
import type { EngineClient } from "./engine_client.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import type { PassProgress } from "./pass_progress.ts";
import { refuseKey } from "./refuse_key.ts";
import type { VersionGuard } from "./version_guard.ts";

/**
 * Finds another engine for a stream before its silent engine is given up, so that no answer is ended for which there is
 * neither a retry nor memory elsewhere.
 *
 * @example
 * ```ts
 * const search = new SuccessorSearch(context, queue, engineClient, versionGuard);
 * const found = await search.find(request, progress, reservation, () => true);
 * ```
 */
export class SuccessorSearch {
    /**
     * @param context Shared objects of the gateway.
     * @param queue Reserves memory at decode engines.
     * @param engineClient Calls engines.
     * @param versionGuard Decides at which version a stream may go on.
     */
    constructor(
        private readonly context: GatewayContext,
        private readonly queue: DecodeQueue,
        private readonly engineClient: EngineClient,
        private readonly versionGuard: Pick<VersionGuard, "admitNextPass">,
    ) {}

    /**
     * Reserves memory at another engine and spends a retry; the reservation becomes the successor of the progress.
     *
     * @param request The request.
     * @param progress Progress of its stream.
     * @param current The reservation at the silent engine.
     * @param isStillSilent Whether the engine has sent nothing since; the search ends when it sends again.
     * @returns Whether the stream may go on at the successor.
     */
    async find(
        request: GatewayRequest,
        progress: PassProgress,
        current: DecodeReservation,
        isStillSilent: () => boolean,
    ): Promise<boolean> {
        const service = request.service.name;
        if (refuseKey(request.key, this.context) || !this.context.retryBudget.canSpend(service)) {
            return false;
        }
        if (await this.versionGuard.admitNextPass(request, progress)) {
            return false;
        }
        const excluded = new Set([...progress.excluded, current.server.id]);
        const reservation = await this.queue.acquire(request, excluded, {
            softwareVersion: progress.softwareVersion,
            isWanted: isStillSilent,
        });
        if (reservation.isErr()) {
            return false;
        }
        if (!isStillSilent() || refuseKey(request.key, this.context) || !this.context.retryBudget.trySpend(service)) {
            this.#release(reservation.value);
            return false;
        }
        progress.successor = reservation.value;
        return true;
    }

    /**
     * Releases a successor that will not be used.
     *
     * @param progress Progress of the stream.
     */
    releaseUnused(progress: PassProgress): void {
        if (progress.successor) {
            this.#release(progress.successor);
            progress.successor = undefined;
        }
    }

    #release(reservation: DecodeReservation): void {
        this.queue.release(reservation);
        this.engineClient.release(
            reservation.server,
            this.context.engineProtocol.releaseReservation(reservation.reservationId),
        );
    }
}
