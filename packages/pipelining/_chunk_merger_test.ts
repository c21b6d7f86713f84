import fc from "fast-check";
import { createServer, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { Duplex } from "node:stream";
import { setImmediate as nextTurn } from "node:timers/promises";
import { expect, test } from "vitest";
import { PipeliningLimit } from "./pipelining_limit.ts";

const HEAD = "POST /first HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
const NEXT = "POST /next HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nxy";
const READ_BYTES = 65_536;
/** Turns of the event loop after which the last of a few requests is answered. */
const TURNS = 12;
const SEED = 53;
const RUNS = 1_500;

/** A connection without a network, whose reads are emitted. */
class Connection extends Duplex {
    setTimeout = () => this;
    setNoDelay = () => this;
    override _read() {}
    override _write(_chunk: unknown, _encoding: string, callback: () => void) {
        callback();
    }
}

/** Has a server of Node.js, with or without the limit, read pieces; returns what its parser has made of them. */
async function play(pieces: string[], isLimited: boolean) {
    const requests: { url: string | undefined; body: string; complete: boolean; }[] = [];
    /** What the parser has refused; it repeats its refusal for each further piece. */
    const errors = new Set<string | undefined>();
    let bodyPieces = 0;
    const server = createServer();
    if (isLimited) {
        new PipeliningLimit(server, { maximumUnansweredRequests: 4 });
    }
    server.on("request", (incoming, response: ServerResponse) => {
        const request = { url: incoming.url, body: "", complete: false };
        requests.push(request);
        const push = incoming.push.bind(incoming);
        incoming.push = (chunk: unknown) => {
            request.complete = !(chunk instanceof Buffer);
            if (chunk instanceof Buffer) {
                bodyPieces++;
                request.body += chunk.toString("latin1");
            }
            return push(chunk);
        };
        incoming.resume().on("end", () => response.end());
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
        errors.add(error.code);
        socket.destroy();
    });
    const connection = new Connection();
    server.emit("connection", connection as unknown as Socket);
    for (const piece of pieces) {
        if (!connection.destroyed) {
            connection.emit("data", Buffer.from(piece, "latin1"));
        }
    }
    for (let turn = 0; turn < TURNS; turn++) {
        await nextTurn();
    }
    connection.destroy();
    return { seen: { requests, errors }, bodyPieces };
}

async function expectSame(pieces: string[]): Promise<void> {
    const { seen } = await play(pieces, true);
    expect(seen).toEqual((await play(pieces, false)).seen);
}

// Guards against bodies that are framed otherwise than the parser alone would frame them, so that requests are smuggled.
test.each([
    ["small chunks", "1\r\na\r\n2\r\nbc\r\nA\r\n0123456789\r\n0\r\n\r\n"],
    ["data that looks like the end", "5\r\n0\r\n\r\n\r\n3\r\n\n\r\n\r\n2\r\n\n\n\r\n0\r\n\r\n"],
    ["data that looks like chunks", "11\r\na\r\n1\r\nb\r\n1\r\nc\r\nde\r\n0\r\n\r\n"],
    ["sizes with zeros before them", "01\r\na\r\n0002\r\nbc\r\n00\r\n\r\n"],
    ["sizes of many digits", "0000000000001\r\na\r\n1\r\nb\r\n0\r\n\r\n"],
    ["a size that is too large", "1\r\na\r\n10000000000000000\r\na\r\n0\r\n\r\n"],
    ["an extension between chunks", '1\r\na\r\n1;b="\\""\r\nc\r\n1\r\nd\r\n0;e\r\n\r\n'],
    ["an extension of line feeds", "1\r\na\r\n1;\n\r\nc\r\n0\r\n\r\n"],
    ["a sign before a size", "1\r\na\r\n+1\r\nb\r\n0\r\n\r\n"],
    ["a space before a size", "1\r\na\r\n 1\r\nb\r\n0\r\n\r\n"],
    ["a space behind a size", "1\r\na\r\n1 \r\nb\r\n0\r\n\r\n"],
    ["a size of hexadecimal notation", "1\r\na\r\n0x1\r\nb\r\n0\r\n\r\n"],
    ["no size", "1\r\na\r\n\r\nb\r\n0\r\n\r\n"],
    ["a line feed alone behind a size", "1\r\na\r\n1\nb\r\n0\r\n\r\n"],
    ["a line feed alone behind data", "1\r\na\r\n1\r\nb\n1\r\nc\r\n0\r\n\r\n"],
    ["two carriage returns", "1\r\na\r\n1\r\r\nb\r\n0\r\n\r\n"],
    ["data longer than its size", "1\r\na\r\n1\r\nbc\r\n0\r\n\r\n"],
    ["data shorter than its size", "1\r\na\r\n3\r\nb\r\n0\r\n\r\n"],
    ["trailers", "1\r\na\r\n1\r\nb\r\n0\r\nX-First: 1\r\nX-Second: 2\r\n\r\n"],
    ["trailers that are no fields", "1\r\na\r\n0\r\nnone\r\n\r\n"],
    ["no end", "1\r\na\r\n1\r\nb\r\n"],
    ["empty lines behind it", "1\r\na\r\n0\r\n\r\n\r\n\r\n\n\n\r\n"],
    ["no chunks", "0\r\n\r\n"],
])(
    "a body with %s is what the parser alone makes of it, at each split into two reads and in single bytes",
    async (_, body) => {
        const input = HEAD + body + NEXT;
        for (let split = HEAD.length - 1; split <= input.length; split++) {
            await expectSame([input.slice(0, split), input.slice(split)].filter(piece => piece !== ""));
        }
        await expectSame(input.split(""));
    },
);

// Guards against chunks being looked for where the parser frames a body otherwise, or refuses it.
test.each([
    "HTTP/1.1\r\nTransfer-Encoding: CHUNKED",
    "HTTP/1.1\r\nTransfer-Encoding: gzip, chunked",
    "HTTP/1.1\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
    "HTTP/1.1\r\nTransfer-Encoding: chunked, gzip",
    "HTTP/1.1\r\nTransfer-Encoding: identity",
    "HTTP/1.1\r\nTransfer-Encoding:",
    "HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5",
    "HTTP/1.0\r\nTransfer-Encoding: chunked",
])("a request with %j is what the parser alone makes of it", async fields => {
    const head = `POST /first ${fields}\r\nHost: a\r\n\r\n`;
    await expectSame([head, "1\r\na\r\n1\r\nb\r\n", `1\r\nc\r\n0\r\n\r\n${NEXT}`]);
    await expectSame([`${head}1\r\na\r\n1\r\nb\r\n0\r\n\r\n${NEXT}`]);
});

// Guards against the same in a request for an upgrade, behind which the parser stops at the end of a read.
test("a request for an upgrade that nobody serves has the body that the parser alone makes of it", async () => {
    const head = HEAD.replace("\r\n\r\n", "\r\nUpgrade: other\r\nConnection: upgrade\r\n\r\n");
    await expectSame([head, "1\r\na\r\n1\r\nb\r\n", "1\r\nc\r\n0\r\n\r\n"]);
    await expectSame([`${head}1\r\na\r\n1\r\nb\r\n0\r\n\r\n`]);
});

const data = fc.array(fc.constantFrom("a", "0", "\r", "\n", "\r\n", "0\r\n\r\n", "1\r\n", ";"), {
    minLength: 1,
    maxLength: 6,
});
const chunk = fc.tuple(data, fc.constantFrom("", "0", "00"), fc.boolean()).map(([parts, zeros, isUpper]) => {
    const text = parts.join("");
    const size = text.length.toString(16);
    return `${zeros}${isUpper ? size.toUpperCase() : size}\r\n${text}\r\n`;
});
const departure = fc.constantFrom(
    "1;a\r\nb\r\n",
    "1 \r\nb\r\n",
    "-1\r\n",
    "1\nb\n",
    "g",
    "\r\n",
    "0\r\n",
    "1\r\nbc",
    "\r",
    "\n",
);
const body = fc.array(fc.oneof({ weight: 12, arbitrary: chunk }, { weight: 1, arbitrary: departure }), {
    maxLength: 20,
});
const end = fc.constantFrom("0\r\n\r\n", "0\r\nX-Trailer: a\r\n\r\n", "000\r\n\r\n", "0;a\r\n\r\n", "");

// Guards against the same in bodies and splits that nobody has thought of.
test("bodies of any chunks are what the parser alone makes of them, at any splits into reads", async () => {
    const lengths = fc.array(fc.integer({ min: 1, max: 60 }), { maxLength: 12 });
    await fc.assert(
        fc.asyncProperty(body, end, body, end, lengths, async (first, firstEnd, second, secondEnd, pieceLengths) => {
            let rest = HEAD + first.join("") + firstEnd + HEAD + second.join("") + secondEnd + NEXT;
            const pieces = [rest.slice(0, HEAD.length)];
            rest = rest.slice(HEAD.length);
            for (const length of pieceLengths) {
                pieces.push(rest.slice(0, length));
                rest = rest.slice(length);
            }
            await expectSame([...pieces, rest].filter(piece => piece !== ""));
        }),
        { seed: SEED, numRuns: RUNS },
    );
});

// Guards against processes that stand still since the parser calls back for each chunk, or each blank line, of a read.
test.each([
    ["chunks of one byte", "1\r\na\r\n".repeat(50_000)],
    ["chunks of line feeds", "1\r\n\n\r\n".repeat(50_000)],
    ["a chunk of line feeds", `30000\r\n${"\n".repeat(0x3_0000)}\r\n`],
])("%s: a request gets them in a few pieces for each read, whole", async (_, chunks) => {
    const input = `${chunks}0\r\n\r\n`;
    const reads = Array.from(
        { length: Math.ceil(input.length / READ_BYTES) },
        (_read, index) => input.slice(index * READ_BYTES, (index + 1) * READ_BYTES),
    );
    const { seen, bodyPieces } = await play([HEAD, ...reads], true);
    expect(bodyPieces).toBeLessThanOrEqual(3 * reads.length);
    expect(seen).toEqual((await play([HEAD, ...reads], false)).seen);
});
