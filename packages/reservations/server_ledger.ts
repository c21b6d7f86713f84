import { monotonicMilliseconds } from "../clocks/mod.ts";
import type { EngineReport } from "../engines/mod.ts";
import { SlowStart } from "./_slow_start.ts";
import { FairQueue } from "./fair_queue.ts";
import type { HeldReservation } from "./held_reservation.ts";
import { reservationTimes } from "./reservation_times.ts";
import type { ReserveRequest } from "./reserve_request.ts";
import type { ReserveResponse } from "./reserve_response.ts";

const MAXIMUM_WAITING = 256;
const MAXIMUM_WAITING_PER_ORGANISATION = 64;

/** Capacity reserved for one request. */
interface Reservation {
    pieces: number;
    suspect: boolean;
    /** Recognises the request; unknown if only the engine says that it runs. */
    fingerprint: string | undefined;
    /** Whether the server has failed or started anew since. */
    void: boolean;
    /** Boot id of the server when the capacity was granted. */
    bootId: string | undefined;
    confirmedAt: number;
    orphaned: boolean;
}

interface Waiter {
    id: string;
    organisation: string;
    weight: number;
    priority: number;
    cost: number;
    suspect: boolean;
    fingerprint: string;
    answer: (answer: ReserveResponse) => void;
    timer: NodeJS.Timeout;
}

/** Handed from one home of a server to the next. */
interface LedgerHandover {
    allowed: number;
    bootId: string | undefined;
}

/**
 * The capacity of one backend server over all instances.
 *
 * @example
 * ```ts
 * const ledger = new ServerLedger(20, {});
 * ledger.open();
 * const answer = await ledger.reserve(request, 1);
 * ledger.release(request.id, "done");
 * ```
 */
export class ServerLedger {
    readonly #reservations = new Map<string, Reservation>();
    readonly #queue = new FairQueue<Waiter>();
    readonly #ramp: SlowStart;
    #capacity: number;
    #state: "opening" | "open" | "closed" = "opening";
    #bootId: string | undefined;
    #onVoid: (ids: string[]) => void = () => {};
    #down = false;
    #paused = false;
    #drained = false;

    /**
     * @param capacity Pieces of the server.
     * @param handover What the former home knew, if it could say.
     */
    constructor(
        capacity: number,
        handover: Partial<LedgerHandover>,
    ) {
        this.#capacity = capacity;
        this.#ramp = new SlowStart(capacity, handover.allowed ?? 1);
        this.#bootId = handover.bootId;
    }

    /** Pieces of the server. */
    get capacity(): number {
        return this.#capacity;
    }

    /** Pieces reserved. */
    get reserved(): number {
        let sum = 0;
        for (const { pieces } of this.#reservations.values()) {
            sum += pieces;
        }
        return sum;
    }

    /** Requests that a cold server is allowed at a time. */
    get allowed(): number {
        return this.#ramp.allowed;
    }

    /** Requests that wait. */
    get waiting(): number {
        return this.#queue.size;
    }

    /** Whether the server did not answer last. */
    get down(): boolean {
        return this.#down;
    }

    /**
     * Adds what an instance holds already.
     *
     * @param held Its reservations.
     */
    importReservations(held: HeldReservation[]): void {
        for (const { id, pieces, fingerprint } of held) {
            this.#adopt(id, pieces, fingerprint);
        }
    }

    /** Starts to grant, once every instance has said what it holds. */
    open(): void {
        if (this.#state === "opening") {
            this.#state = "open";
        }
        this.#pump();
    }

    /**
     * Reserves capacity, waiting if need be.
     *
     * @param request The request.
     * @param weight Weight of its organisation.
     * @returns The answer.
     */
    reserve(request: ReserveRequest, weight: number): Promise<ReserveResponse> {
        if (this.#reservations.has(request.id)) {
            return Promise.resolve(this.#describe(true));
        }
        const refusal = this.#refuseAtOnce(request);
        if (refusal) {
            return Promise.resolve(this.#describe(false, refusal));
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
                    resolve(this.#describe(false, "deadline"));
                    this.#pump();
                }, request.waitMilliseconds),
            };
            this.#queue.push(waiter);
            this.#pump();
        });
    }

    /**
     * Ends a reservation.
     *
     * @param id Id of the request.
     * @param outcome How it ended; see the parameters of `servers.release`.
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
            this.#ramp.recordSuccess();
        }
        this.#pump();
    }

    /**
     * Tells whether the server has failed or started anew since a reservation was granted.
     *
     * @param id Id of the request.
     * @returns Whether it has; false for a reservation that is not known.
     */
    hasFailedSinceGrant(id: string): boolean {
        const reservation = this.#reservations.get(id);
        return reservation !== undefined && (this.#down || reservation.bootId !== this.#bootId);
    }

    /**
     * Lists the requests that held one of some reservations when the server failed or started anew.
     *
     * @param ids Ids of the reservations.
     * @returns Their fingerprints, as far as they are known.
     */
    voidedFingerprints(ids: string[]): string[] {
        return ids.flatMap(id => {
            const reservation = this.#reservations.get(id);
            return reservation?.void && reservation.fingerprint !== undefined ? [reservation.fingerprint] : [];
        });
    }

    /** Grants nothing until the engine has answered, as it may have failed. */
    pause(): void {
        this.#paused = true;
    }

    /**
     * Takes the server out or back in.
     *
     * @param drained Whether it gets no new work.
     */
    setDrained(drained: boolean): void {
        if (this.#drained && !drained) {
            this.#ramp.reset();
        }
        this.#drained = drained;
        if (drained) {
            this.#refuseWaiters("drained");
        }
    }

    /**
     * Changes the capacity. Reservations above a lower one run to their end.
     *
     * @param capacity Pieces of the server.
     */
    setCapacity(capacity: number): void {
        this.#capacity = capacity;
        this.#ramp.setMaximum(capacity);
        this.#pump();
    }

    /** Notes that the server does not answer. */
    markDown(): void {
        this.#down = true;
        this.#paused = false;
        this.#noteRestart();
        this.#refuseWaiters("down");
    }

    /**
     * Compares the ledger with what the engine reports.
     *
     * @param report The report.
     * @param askedAt Monotonic time in milliseconds before the report was asked for.
     */
    reconcile(report: EngineReport, askedAt: number): void {
        if (this.#bootId === undefined) {
            // A new home does not know how warm the server is, but it bears what it runs.
            this.#ramp.raiseTo(report.running.length + 1);
        }
        else if (report.bootId !== this.#bootId) {
            this.#noteRestart();
        }
        this.#bootId = report.bootId;
        this.#down = false;
        this.#paused = false;
        const running = new Set(report.running.map(({ id }) => id));
        for (const { id, pieces } of report.running) {
            this.#adopt(id, pieces);
        }
        for (const [id, reservation] of this.#reservations) {
            if (reservation.orphaned && !running.has(id) && reservation.confirmedAt < askedAt) {
                this.#reservations.delete(id);
            }
        }
        this.#pump();
    }

    /**
     * Registers a function that is told which reservations must not be used any more, as the server started anew.
     *
     * @param listener The function.
     */
    onVoid(listener: (ids: string[]) => void): void {
        this.#onVoid = listener;
    }

    /**
     * Lists reservations whose owners have to say whether they still hold them.
     *
     * @returns Ids of the requests.
     */
    unconfirmed(): string[] {
        const before = monotonicMilliseconds() - reservationTimes.confirmMilliseconds;
        return [...this.#reservations].filter(([, entry]) => entry.confirmedAt < before).map(([id]) => id);
    }

    /**
     * Lists reservations that no instance holds any more and that the engine must cancel.
     *
     * @returns Ids of the requests.
     */
    orphans(): string[] {
        return [...this.#reservations].filter(([, { orphaned }]) => orphaned).map(([id]) => id);
    }

    /**
     * Notes what an owner said.
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
     * Stops granting; requests that wait are told to ask again.
     *
     * @returns What the next home needs.
     */
    close(): LedgerHandover {
        this.#state = "closed";
        this.#refuseWaiters("not-home");
        return { allowed: this.#ramp.allowed, bootId: this.#bootId };
    }

    #noteRestart(): void {
        this.#ramp.reset();
        this.#reservations.forEach(reservation => {
            reservation.void = true;
        });
        if (this.#reservations.size > 0) {
            this.#onVoid([...this.#reservations.keys()]);
        }
    }

    #adopt(id: string, pieces: number, fingerprint?: string): void {
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

    #refuseAtOnce(request: ReserveRequest): ReserveResponse["why"] {
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
        const full = this.#queue.size >= MAXIMUM_WAITING
            || this.#queue.countOf(request.organisation) >= MAXIMUM_WAITING_PER_ORGANISATION;
        const mustWait = this.#next() !== undefined || !this.#mayGo(request) || !this.#fits(request.pieces);
        return full || request.waitMilliseconds <= 0 && mustWait ? "full" : undefined;
    }

    #fits(pieces: number): boolean {
        return this.#state === "open" && !this.#down && !this.#paused && this.#reservations.size < this.#ramp.allowed
            && this.reserved + pieces <= this.capacity;
    }

    /** Of the requests that may have crashed a server, one at a time runs here, so that a crash tells which it was. */
    #mayGo(request: { suspect: boolean; }): boolean {
        return !request.suspect || ![...this.#reservations.values()].some(({ suspect }) => suspect);
    }

    #next(): Waiter | undefined {
        return this.#queue.peek(waiter => this.#mayGo(waiter));
    }

    #pump(): void {
        let next = this.#next();
        while (next && this.#fits(next.cost)) {
            this.#queue.shift(waiter => this.#mayGo(waiter));
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
            next.answer(this.#describe(true));
            next = this.#next();
        }
    }

    #refuseWaiters(why: ReserveResponse["why"]): void {
        for (let waiter = this.#queue.shift(); waiter; waiter = this.#queue.shift()) {
            clearTimeout(waiter.timer);
            waiter.answer(this.#describe(false, why));
        }
    }

    #describe(granted: boolean, why?: ReserveResponse["why"]): ReserveResponse {
        const open = Math.min(this.capacity - this.reserved, this.#ramp.allowed - this.#reservations.size);
        return { granted, ...(why ? { why } : {}), free: Math.max(0, open), waiting: this.#queue.size };
    }
}
