import type { ProcessEnd } from "./process_end.ts";

/** Signals that ask a process to end. */
const END_SIGNALS = ["SIGTERM", "SIGINT", "SIGQUIT"] as const;
/** Signals that ask for nothing here, but whose default would end the process. */
const IGNORED_SIGNALS = ["SIGUSR2", "SIGALRM", "SIGVTALRM", "SIGPROF", "SIGIO"] as const;

/** What the signals to a process do once it has started. */
interface SignalActions {
    /** Ends the process in order. */
    terminate(signal: string): void;
    /** Reads the settings again. */
    reload(): void;
}

/**
 * Handles the signals to this process from its first statement on, since their default would end it.
 *
 * @example
 * ```ts
 * const signals = new ProcessSignals(end);
 * signals.connect({ terminate: signal => end.exit(0, "shut down", signal), reload: () => {} });
 * ```
 */
export class ProcessSignals {
    #actions: SignalActions | undefined;
    #reloadDue = false;

    /**
     * @param end Ends the process, also if a signal asks for it before the actions are known.
     */
    constructor(readonly end: ProcessEnd) {
        END_SIGNALS.forEach(signal => process.on(signal, () => this.#terminate(signal)));
        IGNORED_SIGNALS.forEach(signal => process.on(signal, () => {}));
        process.on("SIGHUP", () => this.#reload());
    }

    /**
     * Sets what signals do. A reload that was asked for before takes place at once.
     *
     * @param actions The actions.
     */
    connect(actions: SignalActions): void {
        this.#actions = actions;
        if (this.#reloadDue) {
            actions.reload();
        }
    }

    #terminate(signal: string): void {
        if (this.#actions) {
            this.#actions.terminate(signal);
            return;
        }
        // Nothing has been accepted yet.
        this.end.exit(0, "asked to end before the start", signal);
    }

    #reload(): void {
        this.#reloadDue = true;
        this.#actions?.reload();
    }
}
