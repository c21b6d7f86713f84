import type { BackendConnection } from "../backends/mod.ts";
import { monotonicMilliseconds, sleep, within } from "../clocks/mod.ts";
import type { Directory, RegisteredServer } from "../directory/mod.ts";
import type { Logger } from "../logs/mod.ts";
import type { Metrics } from "../metrics/mod.ts";
import type { StreamVersions } from "../stream_versions/mod.ts";
import { FormerEngines } from "./_former_engines.ts";
import { isProcessOf } from "./_is_process_of.ts";
import type { EngineClient } from "./engine_client.ts";
import type { EngineProtocol } from "./engine_protocol.ts";

const REPORT_TIMEOUT_MILLISECONDS = 600;
/** Questions to an engine that does not answer, while it writes a stream, and the pause between two. */
const MAXIMUM_QUESTIONS = 3;
const ASK_AGAIN_MILLISECONDS = 200;
/** Time in milliseconds for which a stream waits for the entry of its process; it can't be taken up later. */
const LIFETIME_MILLISECONDS = 64_000;
/** Longest time in milliseconds for which the first event of a new stream waits for the engine's word. */
const ADMIT_MILLISECONDS = 100;
/** Longest time in milliseconds for which it waits until other instances know of a process without an entry. */
const RECORD_MILLISECONDS = 1_000;

/** Dependencies of {@linkcode EngineProcesses}. */
interface EngineProcessesOptions {
    directory: Pick<Directory, "servers" | "onBatch">;
    engineClient: Pick<EngineClient, "call">;
    engineProtocol: Pick<EngineProtocol, "report" | "parseReport">;
    metrics: Metrics;
    logger: Logger;
}

/** Tells the other instances of a process that begins streams before its entry has come. */
type UnregisteredRecorder = Pick<StreamVersions, "addUnregistered">;

/** A stream that an engine writes. */
interface WrittenStream {
    /** The engine as it was registered when the stream was sent there. */
    server: RegisteredServer;
    /** The connection over which the stream comes. */
    connection: BackendConnection;
    /** Returns whether the stream is still coming. */
    isRunning(): boolean;
}

/** What a process of an engine has said of itself. */
interface Statement {
    startedAt: number | undefined;
    connection: BackendConnection | undefined;
    /** Monotonic time in milliseconds at which the question was sent. */
    askedAt: number;
}

/**
 * Finds out which process of an engine writes a stream. An engine may start again under its id, with other software, and its
 * entry follows later; so an entry speaks only for the process whose start it bears.
 *
 * @example
 * ```ts
 * const processes = new EngineProcesses({ directory, engineClient, engineProtocol, metrics, logger });
 * await processes.identify({ server, connection, isRunning: () => true }, streamVersions); // "v2"
 * ```
 */
export class EngineProcesses {
    /** By engine: start of the process that was last seen to be the registered one, and when it was. */
    readonly #confirmed = new Map<string, { startedAt: number; at: number; }>();
    /** By engine: start of the process in an entry that another process has outlived. */
    readonly #outdated = new Map<string, number>();
    readonly #questions = new Map<string, { askedAt: number; statement: Promise<Statement | undefined>; }>();
    /** By engine and start of its process: whether other instances know that it begins streams without an entry. */
    readonly #recorded = new Map<string, Promise<boolean>>();
    /** By engine: called once its entry tells of another process. */
    readonly #waiting = new Map<string, Set<() => void>>();
    readonly #former: FormerEngines;

    /**
     * @param options Dependencies.
     */
    constructor(private readonly options: EngineProcessesOptions) {
        const { directory } = options;
        this.#former = new FormerEngines(directory);
        directory.onBatch(() => this.#applyDirectory());
    }

    /** Engines whose process has ended or been replaced lately, as they were registered. */
    get former(): RegisteredServer[] {
        return this.#former.list();
    }

    /**
     * Returns whether the process at an engine's address is known to be another one than the registered one.
     *
     * @param server The engine.
     * @returns Whether its entry is outdated.
     */
    isOutdated(server: RegisteredServer): boolean {
        return this.#outdated.get(server.id) === server.startedAt;
    }

    /**
     * Finds out the software version of the process that writes a stream.
     *
     * @param stream The stream.
     * @param streamVersions Tells the other instances of a process without an entry.
     * @returns The version, once the entry of that process is known; undefined if it can't be told which process it is.
     */
    async identify(stream: WrittenStream, streamVersions: UnregisteredRecorder): Promise<string | undefined> {
        const { server, isRunning } = stream;
        if (this.#isConfirmed(stream)) {
            return server.softwareVersion;
        }
        const statement = await this.#askUntilAnswered(stream);
        if (statement && isProcessOf(server, statement.startedAt)) {
            return server.softwareVersion;
        }
        if (statement?.startedAt === undefined) {
            return undefined;
        }
        this.options.metrics.increment("engines_restarted_total");
        this.options.logger.warn("engine is another process than the registered one", {
            engine: server.id,
            registeredStart: server.startedAt,
            start: statement.startedAt,
            version: server.softwareVersion,
        });
        this.#outdated.set(server.id, server.startedAt);
        // The process that answers may have begun after the one that wrote has ended.
        const isWriter = isRunning();
        await this.#record(server, statement.startedAt, streamVersions);
        return isWriter ? await this.#awaitEntry(server, statement) : undefined;
    }

    /**
     * Waits until the events of a new stream may be passed on: at once unless another process than the registered one writes it, of which the
     * other instances have to know first.
     *
     * @param stream The stream.
     * @param streamVersions Tells the other instances.
     * @returns Whether they may be; undefined if there is nothing to wait for.
     */
    admit(stream: WrittenStream, streamVersions: UnregisteredRecorder): Promise<boolean> | undefined {
        return this.#isConfirmed(stream) ? undefined : this.#admitUnconfirmed(stream, streamVersions);
    }

    async #admitUnconfirmed(
        { server, connection }: WrittenStream,
        streamVersions: UnregisteredRecorder,
    ): Promise<boolean> {
        const statement = await within(this.#ask(server, connection.usedSince), ADMIT_MILLISECONDS);
        if (statement?.startedAt === undefined || isProcessOf(server, statement.startedAt)) {
            return true;
        }
        return await this.#record(server, statement.startedAt, streamVersions);
    }

    /** Tells the other instances of a process without an entry, once; returns whether they will know of it. */
    async #record(
        { service, id }: RegisteredServer,
        startedAt: number,
        streamVersions: UnregisteredRecorder,
    ): Promise<boolean> {
        const key = `${id} ${startedAt}`;
        const recorded = this.#recorded.get(key) ?? streamVersions.addUnregistered(service, id, startedAt);
        this.#recorded.set(key, recorded);
        const isRecorded = await within(recorded, RECORD_MILLISECONDS) ?? false;
        if (!isRecorded) {
            this.#recorded.delete(key);
        }
        return isRecorded;
    }

    /** Whether the process at the other end of a stream's connection is known to be the registered one. */
    #isConfirmed({ server, connection }: WrittenStream): boolean {
        const confirmed = this.#confirmed.get(server.id);
        // The process was there after the connection had been opened, and a connection lives no longer than its process.
        return confirmed?.startedAt === server.startedAt && connection.usedSince <= confirmed.at;
    }

    async #askUntilAnswered({ server, connection, isRunning }: WrittenStream): Promise<Statement | undefined> {
        for (let question = 0; question < MAXIMUM_QUESTIONS && isRunning(); question++) {
            const statement = await this.#ask(server, connection.usedSince);
            if (statement) {
                return statement;
            }
            await sleep(ASK_AGAIN_MILLISECONDS);
        }
        return undefined;
    }

    /** Asks an engine for the start of its process, or shares a question that was sent since a time. */
    #ask(server: RegisteredServer, since: number): Promise<Statement | undefined> {
        const shared = this.#questions.get(server.id);
        if (shared && shared.askedAt >= since) {
            return shared.statement;
        }
        const askedAt = monotonicMilliseconds();
        const statement = this.#send(server, askedAt).finally(() => {
            if (this.#questions.get(server.id)?.askedAt === askedAt) {
                this.#questions.delete(server.id);
            }
        });
        this.#questions.set(server.id, { askedAt, statement });
        return statement;
    }

    async #send(server: RegisteredServer, askedAt: number): Promise<Statement | undefined> {
        const { engineClient, engineProtocol } = this.options;
        const answer = await engineClient.call(server, engineProtocol.report(), REPORT_TIMEOUT_MILLISECONDS);
        const report = answer.status === 200 ? engineProtocol.parseReport(answer.body) : undefined;
        if (report && isProcessOf(server, report.startedAt)) {
            this.#confirmed.set(server.id, { startedAt: server.startedAt, at: askedAt });
        }
        return report && { startedAt: report.startedAt, connection: answer.connection, askedAt };
    }

    /** Waits for the entry of a process; resolves to undefined if the entry that comes is that of yet another one. */
    async #awaitEntry(former: RegisteredServer, statement: Statement): Promise<string | undefined> {
        const { directory } = this.options;
        const registered = () => directory.servers.get(former.id);
        if (registered()?.startedAt === former.startedAt) {
            await within(this.#whenEntryChanges(former.id), LIFETIME_MILLISECONDS);
        }
        const entry = registered();
        if (!entry || entry.startedAt === statement.startedAt) {
            return entry?.softwareVersion;
        }
        // At the other end of a connection there is one process for as long as it lasts, whatever it said first.
        const later = await this.#ask(entry, monotonicMilliseconds());
        const isSame = later?.connection !== undefined && later.connection === statement.connection;
        return isSame && later.startedAt === entry.startedAt ? entry.softwareVersion : undefined;
    }

    #whenEntryChanges(id: string): Promise<void> {
        return new Promise(resolve => {
            const waiting = this.#waiting.get(id) ?? new Set();
            this.#waiting.set(id, waiting.add(resolve));
        });
    }

    #applyDirectory(): void {
        const { servers } = this.options.directory;
        this.#former.observe();
        for (const [id, startedAt] of this.#outdated) {
            if (servers.get(id)?.startedAt !== startedAt) {
                this.#outdated.delete(id);
            }
        }
        for (const key of this.#recorded.keys()) {
            if (!this.#outdated.has(key.split(" ")[0] ?? "")) {
                this.#recorded.delete(key);
            }
        }
        for (const id of this.#confirmed.keys()) {
            if (!servers.has(id)) {
                this.#confirmed.delete(id);
            }
        }
        for (const [id, waiting] of this.#waiting) {
            if (!servers.has(id) || !this.#outdated.has(id)) {
                this.#waiting.delete(id);
                waiting.forEach(resolve => resolve());
            }
        }
    }
}
