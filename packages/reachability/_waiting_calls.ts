import type { WaitingCall } from "./waiting_call.ts";

/** Time in milliseconds for which a call may wait while no server answers anything. */
const LIMIT_MILLISECONDS = 500;
/** Lateness in milliseconds of a timer from which the process has stood still, so that what it missed says nothing. */
const STANDSTILL_MILLISECONDS = 250;

/** Dependencies of {@linkcode WaitingCalls}. */
interface WaitingCallsOptions {
    now(): number;
    /** Waits until what has arrived on connections has been read. */
    poll(): Promise<void>;
    /** Called with the ids of the servers of calls that have waited while no server has answered. */
    onLongWait(servers: Set<string>): void;
}

/** Calls that wait for servers, watched with one timer, which runs only while a call waits. */
export class WaitingCalls {
    /** In the order of their starts. */
    readonly #calls = new Set<WaitingCall>();
    #timer: NodeJS.Timeout | undefined;
    /** Time before which no wait counts. */
    #countsFrom = Number.NEGATIVE_INFINITY;
    #isClosed = false;

    constructor(private readonly options: WaitingCallsOptions) {}

    /** Records a call and returns it. */
    begin(server: string): WaitingCall {
        const call = { server, startedAt: this.options.now() };
        this.#calls.add(call);
        if (!this.#timer && !this.#isClosed) {
            this.#lookAfter(LIMIT_MILLISECONDS);
        }
        return call;
    }

    /** Records that a call does not wait any more. */
    end(call: WaitingCall): void {
        this.#calls.delete(call);
    }

    /** Begins all waits anew, since a server has answered or what was missed says nothing. */
    restart(now: number): void {
        this.#countsFrom = now;
    }

    /** Ends the timer. */
    close(): void {
        this.#isClosed = true;
        clearTimeout(this.#timer);
    }

    #lookAfter(milliseconds: number): void {
        const dueAt = this.options.now() + milliseconds;
        this.#timer = setTimeout(() => void this.#look(dueAt), milliseconds);
        this.#timer.unref();
    }

    async #look(dueAt: number): Promise<void> {
        // After a standstill of the process, timers come before what has arrived meanwhile.
        const now = this.options.now();
        if (now - dueAt > STANDSTILL_MILLISECONDS) {
            this.restart(now);
        }
        if ((this.#remaining() ?? 1) <= 0) {
            await this.options.poll();
        }
        if (this.#isClosed) {
            return;
        }
        this.#timer = undefined;
        const remaining = this.#remaining();
        if (remaining === undefined) {
            return;
        }
        if (remaining > 0) {
            this.#lookAfter(remaining);
            return;
        }
        const latest = this.options.now() - LIMIT_MILLISECONDS;
        const waiting = [...this.#calls].filter(({ startedAt }) => startedAt <= latest);
        this.options.onLongWait(new Set(waiting.map(({ server }) => server)));
        this.#lookAfter(LIMIT_MILLISECONDS);
    }

    /** Time in milliseconds until the oldest call will have waited for long; undefined if no call waits. */
    #remaining(): number | undefined {
        const [oldest] = this.#calls;
        return oldest && Math.max(oldest.startedAt, this.#countsFrom) + LIMIT_MILLISECONDS - this.options.now();
    }
}
