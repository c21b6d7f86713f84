import { randomBytes } from "node:crypto";
import { diffDocuments, type DocumentOperation, hashKey } from "../configuration/mod.ts";
import { checkFile } from "./check_file.ts";
import { ExitCode } from "./exit_code.ts";
import { OperatorClient } from "./operator_client.ts";
import { readDeclaration } from "./read_declaration.ts";

const IN_FORCE_MILLISECONDS = 5_000;
const KEY_BYTES = 24;

interface Connection {
    instance: string;
    "secret-file": string;
}

/** The commands that talk to running instances, and `check`; each returns the exit code. */
export const commands = {
    /** Checks a file. */
    async check(file: string): Promise<number> {
        const { kind, errors, warnings } = await checkFile(file);
        warnings.forEach(line => print(`warning: ${line}`));
        errors.forEach(line => print(`error: ${line}`));
        print(errors.length === 0 ? `${file}: valid ${kind}` : `${file}: ${errors.length} errors`);
        return errors.length === 0 ? ExitCode.success : ExitCode.invalid;
    },

    /** Shows how a declaration differs from what is in force, and puts it in force. */
    async apply(file: string, options: Connection & { "dry-run"?: boolean; }): Promise<number> {
        const read = await readDeclaration(file);
        if (read.isErr()) {
            read.error.forEach(line => print(`error: ${line}`));
            return ExitCode.invalid;
        }
        read.value.warnings.forEach(line => print(`warning: ${line}`));
        return await withClient(options, async client => {
            const current = await client.configuration();
            if (current.isErr()) {
                return unavailable(current.error);
            }
            const operations = diffDocuments(current.value.document, read.value.declaration);
            operations.forEach(operation => print(describe(operation)));
            if (operations.length === 0) {
                print(`version ${current.value.version} already says this`);
                return await reportInForce(client, current.value.version);
            }
            return options["dry-run"] ? ExitCode.success : await change(client, operations, current.value.version);
        });
    },

    /** Prints the state of the fleet. */
    async status(options: Connection): Promise<number> {
        return await withClient(options, async client => {
            const status = await client.status();
            if (status.isErr()) {
                return unavailable(status.error);
            }
            print(JSON.stringify(status.value, undefined, 4));
            return ExitCode.success;
        });
    },

    /** Grants a key to an organisation; makes one up unless its hash is given. */
    async grant(organisation: string, options: Connection & { hash?: string; label?: string; }): Promise<number> {
        const key = randomBytes(KEY_BYTES).toString("base64url");
        const hash = options.hash ?? hashKey(key);
        return await withClient(options, async client => {
            const current = await client.configuration();
            if (current.isOk() && !(organisation in current.value.document.organisations)) {
                print(`error: organisation ${organisation} is not declared`);
                return ExitCode.invalid;
            }
            const value = { organisation, label: options.label ?? "" };
            const code = await change(client, [{ collection: "keys", name: hash, value }]);
            print(`hash ${hash}`);
            if (options.hash === undefined) {
                print(`key ${key}`);
            }
            return code;
        });
    },

    /** Withdraws a key, named by its hash or by itself. */
    async withdraw(keyOrHash: string, options: Connection): Promise<number> {
        const name = /^[0-9a-f]{64}$/.test(keyOrHash) ? keyOrHash : hashKey(keyOrHash);
        return await withClient(options, client => change(client, [{ collection: "keys", name }]));
    },

    /** Takes a backend server or failure domain out. */
    async drain(name: string, options: Connection): Promise<number> {
        return await setDrained(name, options, { since: new Date().toISOString() });
    },

    /** Takes a backend server or failure domain back in. */
    async restore(name: string, options: Connection): Promise<number> {
        return await setDrained(name, options, undefined);
    },

    /** Sends an order to a backend server. */
    async order(server: string, kind: string, target: string, options: Connection): Promise<number> {
        return await withClient(options, async client => {
            const outcome = await client.order(server, kind, target);
            if (outcome.isErr()) {
                return unavailable(outcome.error);
            }
            print(outcome.value.kind === "done" ? "done" : `error: ${outcome.value.message}`);
            return outcome.value.kind === "done" ? ExitCode.success : ExitCode.invalid;
        });
    },
};

async function setDrained(name: string, options: Connection, value: object | undefined): Promise<number> {
    return await withClient(options, async client => {
        const current = await client.configuration();
        if (current.isErr()) {
            return unavailable(current.error);
        }
        const { document } = current.value;
        if (name in document.backendServers) {
            return await change(client, [{ collection: "drainedServers", name, value }]);
        }
        if (name in document.failureDomains) {
            return await change(client, [{ collection: "drainedDomains", name, value }]);
        }
        print(`error: ${name} is neither a backend server nor a failure domain`);
        return ExitCode.invalid;
    });
}

async function change(client: OperatorClient, operations: DocumentOperation[], baseVersion?: number): Promise<number> {
    const outcome = await client.change(operations, baseVersion);
    if (outcome.isErr()) {
        return unavailable(outcome.error);
    }
    const { value } = outcome;
    if (value.kind === "failed") {
        print(`error: not confirmed (${value.verdict}): ${value.message}`);
        return ExitCode.unavailable;
    }
    if (value.kind === "raced") {
        print(`error: another operator made version ${value.version} first:`);
        value.changes.flatMap(({ operations: made }) => made).forEach(operation => print(describe(operation)));
        return ExitCode.raced;
    }
    print(`stored as version ${value.version}`);
    return await reportInForce(client, value.version);
}

async function reportInForce(client: OperatorClient, version: number): Promise<number> {
    const { total, missing } = await client.waitUntilInForce(version, IN_FORCE_MILLISECONDS);
    print(`in force at ${total - missing.length} of ${total} instances`);
    if (missing.length > 0) {
        print(`not in force at: ${missing.join(", ")}`);
        return ExitCode.partial;
    }
    return ExitCode.success;
}

async function withClient(
    options: Connection,
    run: (client: OperatorClient) => Promise<number>,
): Promise<number> {
    if (!options.instance || !options["secret-file"]) {
        print("error: give --instance ADDRESS and --secret-file FILE");
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

function unavailable(message: string): number {
    print(`error: ${message}`);
    return ExitCode.unavailable;
}

function describe(operation: DocumentOperation): string {
    const place = `${operation.collection}.${operation.name}`;
    return operation.value === undefined ? `- ${place}` : `~ ${place}: ${JSON.stringify(operation.value)}`;
}

function print(line: string): void {
    process.stdout.write(`${line}\n`);
}
