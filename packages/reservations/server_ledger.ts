import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { EngineReport } from "../engines/mod.ts";
import { SlowStart } from "./_slow_start.ts";
import { FairQueue } from "./fair_queue.ts";
import type { HeldReservation } from "./held_reservation.ts";
import { reservationTimes } from "./reservation_times.ts";
import type { ReserveRequest } from "./reserve_request.ts";
import type { ReserveResponse } from "./reserve_response.ts";

const MAXIMUM_QUEUED = 256;
const MAXIMUM_QUEUED_PER_ORGANISATION = 64;

/** Capacity reserved for one request. */
interface Reservation {
    pieces: number;
    suspect: boolean;
    /** Fingerprint of the request; unknown if only the engine reported it as running. */
    fingerprint: string | undefined;
    /** Whether the server has failed or restarted since the grant. */
    void: boolean;
    /** Boot id of the server when the capacity was granted. */
    bootId: string | undefined;
    /** Monotonic time in milliseconds of the grant or of the last confirmation by its owner. */
    confirmedAt: number;
    /** Whether no instance holds it any more although the engine may still run the request. */
    orphaned: boolean;
}

/** A queued request. */
interface Waiter {
    id: string;
    organisation: string;
    weight: number;
    priority: number;
    /** Pieces requested. */
    cost: number;
    suspect: boolean;
    fingerprint: string;
    answer: (response: ReserveResponse) => void;
    timer: NodeJS.Timeout;
}

/** State that the home of a server passes to the next home. */
interface LedgerHandover {
    /** Concurrent requests that slow start allows. */
    allowed: number;
    /** Boot id that the engine last reported. */
    bootId: string | undefined;
}

/**
 * Ledger of one backend server: its capacity and the reservations that all instances hold of it.
 *
 * @example
 * ```ts
 * const ledger = new ServerLedger(20, {});
 * ledger.open();
 * const response = await ledger.reserve(request, 1);
 * ledger.release(request.id, "done");
 * ```
 */
export class ServerLedger {
    readonly #reservations = new Map<string, Reservation>();
    readonly #queue = new FairQueue<Waiter>();
    readonly #slowStart: SlowStart;
    #capacity: number;
    #state: "opening" | "open" | "closed" = "opening";
    #bootId: string | undefined;
    #onVoid: (ids: string[]) => void = () => {};
    #down = false;
    #paused = false;
    #drained = false;

    /**
     * @param capacity Number of pieces of the server.
     * @param handover State from the former home, as far as it is known.
     */
    constructor(
        capacity: number,
        handover: Partial<LedgerHandover>,
    ) {
        this.#capacity = capacity;
        this.#slowStart = new SlowStart(capacity, handover.allowed ?? 1);
        this.#bootId = handover.bootId;
    }

    /** Number of pieces of the server. */
    get capacity(): number {
        return this.#capacity;
    }

    /** Number of pieces that are reserved. */
    get reserved(): number {
        let sum = 0;
        for (const { pieces } of this.#reservations.values()) {
            sum += pieces;
        }
        return sum;
    }

    /** Concurrent requests that slow start allows. */
    get allowed(): number {
        return this.#slowStart.allowed;
    }

    /** Number of requests in the queue. */
    get waiting(): number {
        return this.#queue.size;
    }

    /** Whether the server failed to respond to the last report request. */
    get down(): boolean {
        return this.#down;
    }

    /**
     * Adds the reservations that an instance already holds.
     *
     * @param held The reservations.
     */
    importReservations(held: HeldReservation[]): void {
        for (const { id, pieces, fingerprint } of held) {
            this.#addReservation(id, pieces, fingerprint);
        }
    }

    /** Starts granting. Called once every instance has reported its reservations or they can no longer be used. */
    open(): void {
        if (this.#state === "opening") {
            this.#state = "open";
        }
        this.#grantQueued();
    }

    /**
     * Reserves capacity; waits in the queue if there is none.
     *
     * @param request The request.
     * @param weight Weight of its organisation.
     * @returns The response, once the request is granted or rejected.
     */
    reserve(request: ReserveRequest, weight: number): Promise<ReserveResponse> {
        if (this.#reservations.has(request.id)) {
            return Promise.resolve(this.#createResponse(true));
        }
        const rejection = this.#findImmediateRejection(request);
        if (rejection) {
            return Promise.resolve(this.#createResponse(false, rejection));
        }
        return new Promise(resolve => {
            const waiter: Waiter = {
                id: request.id,
                organisation: request.organisation,
                weight,
                priority: request.priority,
                cost: request.pieces,
                suspect: request.suspect,
                fingerprint: request.fingerprint,
                answer: resolve,
                timer: setTimeout(() => {
                    this.#queue.remove(waiter);
                    resolve(this.#createResponse(false, "deadline"));
                    this.#grantQueued();
                }, request.waitMilliseconds),
            };
            this.#queue.push(waiter);
            this.#grantQueued();
        });
    }

    /**
     * Releases a reservation.
     *
     * @param id Id of the request.
     * @param outcome How the use of the reservation ended; see the parameters of `servers.release`.
     */
    release(id: string, outcome: "done" | "unused" | "orphaned"): void {
        const reservation = this.#reservations.get(id);
        if (outcome === "orphaned") {
            if (reservation) {
                reservation.orphaned = true;
            }
            return;
        }
        this.#reservations.delete(id);
        if (outcome === "done") {
            this.#slowStart.recordSuccess();
        }
        this.#grantQueued();
    }

    /**
     * Returns whether the server has failed or restarted since a reservation was granted.
     *
     * @param id Id of the request.
     * @returns Whether it has; false for an unknown reservation.
     */
    hasFailedSinceGrant(id: string): boolean {
        const reservation = this.#reservations.get(id);
        return reservation !== undefined && (this.#down || reservation.bootId !== this.#bootId);
    }

    /**
     * Lists the requests among some that held a reservation when the server failed or restarted.
     *
     * @param ids Ids of the requests.
     * @returns The fingerprints of those requests, as far as they are known.
     */
    voidedFingerprints(ids: string[]): string[] {
        return ids.flatMap(id => {
            const reservation = this.#reservations.get(id);
            return reservation?.void && reservation.fingerprint !== undefined ? [reservation.fingerprint] : [];
        });
    }

    /** Stops granting until the next report of the engine, since the engine may have failed. */
    pause(): void {
        this.#paused = true;
    }

    /**
     * Drains or restores the server.
     *
     * @param drained Whether the server gets no new work.
     */
    setDrained(drained: boolean): void {
        if (this.#drained && !drained) {
            this.#slowStart.reset();
        }
        this.#drained = drained;
        if (drained) {
            this.#rejectQueued("drained");
        }
    }

    /**
     * Changes the capacity. Reservations that exceed a lowered capacity stay until they are released.
     *
     * @param capacity Number of pieces of the server.
     */
    setCapacity(capacity: number): void {
        this.#capacity = capacity;
        this.#slowStart.setMaximum(capacity);
        this.#grantQueued();
    }

    /** Marks the server as not responding, invalidates its reservations and rejects all queued requests. */
    markDown(): void {
        this.#down = true;
        this.#paused = false;
        this.#handleFailureOrRestart();
        this.#rejectQueued("down");
    }

    /**
     * Reconciles the ledger with a report of the engine.
     *
     * @param report The report.
     * @param requestedAt Monotonic time in milliseconds just before the report was requested.
     */
    reconcile(report: EngineReport, requestedAt: number): void {
        if (this.#bootId === undefined) {
            // A new home does not know the slow start limit, but the server sustains what it runs.
            this.#slowStart.raiseTo(report.running.length + 1);
        }
        else if (report.bootId !== this.#bootId) {
            this.#handleFailureOrRestart();
        }
        this.#bootId = report.bootId;
        this.#down = false;
        this.#paused = false;
        const running = new Set(report.running.map(({ id }) => id));
        for (const { id, pieces } of report.running) {
            this.#addReservation(id, pieces);
        }
        for (const [id, reservation] of this.#reservations) {
            if (reservation.orphaned && !running.has(id) && reservation.confirmedAt < requestedAt) {
                this.#reservations.delete(id);
            }
        }
        this.#grantQueued();
    }

    /**
     * Registers a function that receives the ids of reservations that become void when the server fails or restarts.
     *
     * @param listener The function; replaces the one registered before.
     */
    onVoid(listener: (ids: string[]) => void): void {
        this.#onVoid = listener;
    }

    /**
     * Lists reservations that were not confirmed by their owners within the confirmation interval.
     *
     * @returns Ids of the requests.
     */
    listUnconfirmed(): string[] {
        const oldestConfirmation = monotonicMilliseconds() - reservationTimes.confirmationIntervalMilliseconds;
        return [...this.#reservations].filter(([, entry]) => entry.confirmedAt < oldestConfirmation).map(([id]) => id);
    }

    /**
     * Lists reservations that no instance holds any more and whose requests the engine must cancel.
     *
     * @returns Ids of the requests.
     */
    listOrphans(): string[] {
        return [...this.#reservations].filter(([, { orphaned }]) => orphaned).map(([id]) => id);
    }

    /**
     * Records the response of an owner about a reservation.
     *
     * @param id Id of the request.
     * @param held Whether the owner still holds it.
     */
    confirm(id: string, held: boolean): void {
        const reservation = this.#reservations.get(id);
        if (reservation) {
            reservation.confirmedAt = monotonicMilliseconds();
            reservation.orphaned = !held;
        }
    }

    /**
     * Stops granting and rejects queued requests with `"not-home"`, so that they are sent to the next home.
     *
     * @returns State for the next home.
     */
    close(): LedgerHandover {
        this.#state = "closed";
        this.#rejectQueued("not-home");
        return { allowed: this.#slowStart.allowed, bootId: this.#bootId };
    }

    #handleFailureOrRestart(): void {
        this.#slowStart.reset();
        this.#reservations.forEach(reservation => {
            reservation.void = true;
        });
        if (this.#reservations.size > 0) {
            this.#onVoid([...this.#reservations.keys()]);
        }
    }

    #addReservation(id: string, pieces: number, fingerprint?: string): void {
        if (!this.#reservations.has(id)) {
            this.#reservations.set(id, {
                pieces,
                suspect: false,
                fingerprint,
                void: false,
                bootId: this.#bootId,
                confirmedAt: Number.NEGATIVE_INFINITY,
                orphaned: false,
            });
        }
    }

    #findImmediateRejection(request: ReserveRequest): ReserveResponse["why"] {
        if (this.#state === "closed") {
            return "not-home";
        }
        if (this.#down) {
            return "down";
        }
        if (this.#drained) {
            return "drained";
        }
        if (request.pieces > this.capacity) {
            return "too-large";
        }
        const queueFull = this.#queue.size >= MAXIMUM_QUEUED
            || this.#queue.countOf(request.organisation) >= MAXIMUM_QUEUED_PER_ORGANISATION;
        const mustWait = this.#nextWaiter() !== undefined || !this.#mayRun(request) || !this.#fits(request.pieces);
        return queueFull || request.waitMilliseconds <= 0 && mustWait ? "full" : undefined;
    }

    #fits(pieces: number): boolean {
        return this.#state === "open" && !this.#down && !this.#paused
            && this.#reservations.size < this.#slowStart.allowed
            && this.reserved + pieces <= this.capacity;
    }

    /** A server runs at most one suspect at a time, so that a crash identifies the request that caused it. */
    #mayRun(request: { suspect: boolean; }): boolean {
        return !request.suspect || ![...this.#reservations.values()].some(({ suspect }) => suspect);
    }

    #nextWaiter(): Waiter | undefined {
        return this.#queue.peek(waiter => this.#mayRun(waiter));
    }

    #grantQueued(): void {
        let next = this.#nextWaiter();
        while (next && this.#fits(next.cost)) {
            this.#queue.shift(waiter => this.#mayRun(waiter));
            clearTimeout(next.timer);
            this.#reservations.set(next.id, {
                pieces: next.cost,
                suspect: next.suspect,
                fingerprint: next.fingerprint,
                void: false,
                bootId: this.#bootId,
                confirmedAt: monotonicMilliseconds(),
                orphaned: false,
            });
            next.answer(this.#createResponse(true));
            next = this.#nextWaiter();
        }
    }

    #rejectQueued(why: ReserveResponse["why"]): void {
        for (let waiter = this.#queue.shift(); waiter; waiter = this.#queue.shift()) {
            clearTimeout(waiter.timer);
            waiter.answer(this.#createResponse(false, why));
        }
    }

    #createResponse(granted: boolean, why?: ReserveResponse["why"]): ReserveResponse {
        const available = Math.min(this.capacity - this.reserved, this.#slowStart.allowed - this.#reservations.size);
        return { granted, ...(why ? { why } : {}), free: Math.max(0, available), waiting: this.#queue.size };
    }
}
