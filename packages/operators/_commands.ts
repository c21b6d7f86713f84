import { err, ok, type Result } from "neverthrow";
import { type ConfigurationDocument, diffDocuments, type DocumentOperation, hashKey } from "../configuration/mod.ts";
import type { Difference } from "../configuration_checks/mod.ts";
import { createKey } from "./_create_key.ts";
import { checkFile } from "./check_file.ts";
import { ExitCode } from "./exit_code.ts";
import { OperatorClient } from "./operator_client.ts";
import { readDeclaration } from "./read_declaration.ts";
import { readDocument } from "./read_document.ts";

const IN_FORCE_TIMEOUT_MILLISECONDS = 5_000;
/** Names the configuration of the fleet, in place of a file. */
const IN_FORCE = "in-force";

const CONNECTION_OPTIONS = "--instance ADDRESS and --secret-file FILE";

interface ConnectionOptions {
    instance: string;
    "secret-file": string;
}

/** Commands of the command line, except `serve`; each returns its exit code. */
export const commands = {
    /** Checks a settings or declaration file, and compares a declaration with another or with that in force. */
    async check(
        file: string,
        { against, json, ...options }: ConnectionOptions & { against?: string; json?: boolean; },
    ): Promise<number> {
        const readCurrent = () => against === IN_FORCE ? readInForce(options) : readDocument(String(against));
        const result = await checkFile(file, against === undefined ? undefined : readCurrent);
        const { kind, errors, warnings, differences } = result;
        if (json) {
            print(JSON.stringify(result));
        }
        else {
            warnings.forEach(line => print(`warning: ${line}`));
            errors.forEach(line => print(`error: ${line}`));
            differences.forEach(difference => print(formatDifference(difference)));
            print(errors.length === 0 ? `${file}: valid ${kind}` : `${file}: ${errors.length} errors`);
        }
        return errors.length === 0 ? ExitCode.success : ExitCode.invalid;
    },

    /** Prints how a declaration differs from the configuration in force, and applies it unless it is a dry run. */
    async apply(file: string, options: ConnectionOptions & { "dry-run"?: boolean; }): Promise<number> {
        const read = await readDeclaration(file);
        if (read.isErr()) {
            read.error.forEach(line => print(`error: ${line}`));
            return ExitCode.invalid;
        }
        read.value.warnings.forEach(line => print(`warning: ${line}`));
        return await withClient(options, async client => {
            const current = await client.configuration();
            if (current.isErr()) {
                return printUnavailable(current.error);
            }
            const operations = diffDocuments(current.value.document, read.value.declaration);
            operations.forEach(operation => print(formatOperation(operation)));
            if (operations.length === 0) {
                print(`version ${current.value.version} already says this`);
                return await reportInForce(client, current.value.version);
            }
            return options["dry-run"] ? ExitCode.success : await applyChange(client, operations, current.value.version);
        });
    },

    /** Prints the state of the fleet. */
    async status(options: ConnectionOptions): Promise<number> {
        return await withClient(options, async client => {
            const status = await client.status();
            if (status.isErr()) {
                return printUnavailable(status.error);
            }
            print(JSON.stringify(status.value, undefined, 4));
            return ExitCode.success;
        });
    },

    /** Grants an API key to an organisation; generates the key unless its hash is given. */
    async grant(
        organisation: string,
        options: ConnectionOptions & { hash?: string; label?: string; },
    ): Promise<number> {
        const key = createKey();
        const hash = options.hash ?? hashKey(key);
        return await withClient(options, async client => {
            const current = await client.configuration();
            if (current.isOk() && !(organisation in current.value.document.organisations)) {
                print(`error: organisation ${organisation} is not declared`);
                return ExitCode.invalid;
            }
            const value = { organisation, label: options.label ?? "" };
            const code = await applyChange(client, [{ collection: "keys", name: hash, value }]);
            print(`hash ${hash}`);
            if (options.hash === undefined) {
                print(`key ${key}`);
            }
            return code;
        });
    },

    /** Revokes an API key, given as the key or its hash. */
    async withdraw(keyOrHash: string, options: ConnectionOptions): Promise<number> {
        const name = /^[0-9a-f]{64}$/.test(keyOrHash) ? keyOrHash : hashKey(keyOrHash);
        return await withClient(options, client => applyChange(client, [{ collection: "keys", name }]));
    },

    /** Drains a backend server or failure domain. */
    async drain(name: string, options: ConnectionOptions): Promise<number> {
        return await setDrained(name, options, { since: new Date().toISOString() });
    },

    /** Restores a drained backend server or failure domain. */
    async restore(name: string, options: ConnectionOptions): Promise<number> {
        return await setDrained(name, options, undefined);
    },

    /** Sends an order to a backend server. */
    async order(server: string, kind: string, target: string, options: ConnectionOptions): Promise<number> {
        return await withClient(options, async client => {
            const outcome = await client.order(server, kind, target);
            if (outcome.isErr()) {
                return printUnavailable(outcome.error);
            }
            print(outcome.value.kind === "done" ? "done" : `error: ${outcome.value.message}`);
            return outcome.value.kind === "done" ? ExitCode.success : ExitCode.invalid;
        });
    },
};

async function readInForce(options: ConnectionOptions): Promise<Result<ConfigurationDocument, string[]>> {
    if (!options.instance || !options["secret-file"]) {
        return err([`give ${CONNECTION_OPTIONS} to compare with the configuration in force`]);
    }
    const client = await OperatorClient.create(options.instance, options["secret-file"]);
    const current = await client.configuration();
    client.close();
    if (current.isErr()) {
        throw new Error(current.error);
    }
    return ok(current.value.document);
}

async function setDrained(name: string, options: ConnectionOptions, value: object | undefined): Promise<number> {
    return await withClient(options, async client => {
        const current = await client.configuration();
        if (current.isErr()) {
            return printUnavailable(current.error);
        }
        const { document } = current.value;
        if (name in document.backendServers) {
            return await applyChange(client, [{ collection: "drainedServers", name, value }]);
        }
        if (name in document.failureDomains) {
            return await applyChange(client, [{ collection: "drainedDomains", name, value }]);
        }
        print(`error: ${name} is neither a backend server nor a failure domain`);
        return ExitCode.invalid;
    });
}

async function applyChange(
    client: OperatorClient,
    operations: DocumentOperation[],
    baseVersion?: number,
): Promise<number> {
    const outcome = await client.change(operations, baseVersion);
    if (outcome.isErr()) {
        return printUnavailable(outcome.error);
    }
    const { value } = outcome;
    if (value.kind === "failed") {
        print(`error: not confirmed (${value.verdict}): ${value.message}`);
        return ExitCode.unavailable;
    }
    if (value.kind === "raced") {
        print(`error: another operator made version ${value.version} first:`);
        value.changes.flatMap(({ operations: otherOperations }) => otherOperations).forEach(operation =>
            print(formatOperation(operation))
        );
        return ExitCode.raced;
    }
    print(`stored as version ${value.version}`);
    return await reportInForce(client, value.version);
}

async function reportInForce(client: OperatorClient, version: number): Promise<number> {
    const { total, missing } = await client.waitUntilInForce(version, IN_FORCE_TIMEOUT_MILLISECONDS);
    print(`in force at ${total - missing.length} of ${total} instances`);
    if (missing.length > 0) {
        print(`not in force at: ${missing.join(", ")}`);
        return ExitCode.partial;
    }
    return ExitCode.success;
}

async function withClient(
    options: ConnectionOptions,
    run: (client: OperatorClient) => Promise<number>,
): Promise<number> {
    if (!options.instance || !options["secret-file"]) {
        print(`error: give ${CONNECTION_OPTIONS}`);
        return ExitCode.invalid;
    }
    const client = await OperatorClient.create(options.instance, options["secret-file"]);
    try {
        return await run(client);
    }
    finally {
        client.close();
    }
}

function printUnavailable(message: string): number {
    print(`error: ${message}`);
    return ExitCode.unavailable;
}

function formatOperation(operation: DocumentOperation): string {
    const entry = `${operation.collection}.${operation.name}`;
    return operation.value === undefined ? `- ${entry}` : `~ ${entry}: ${JSON.stringify(operation.value)}`;
}

function formatDifference({ path, kind, effects }: Difference): string {
    return effects.length === 0 ? `${kind}: ${path}` : `${kind}: ${path}: ${effects.join("; ")}`;
}

function print(line: string): void {
    process.stdout.write(`${line}\n`);
}
