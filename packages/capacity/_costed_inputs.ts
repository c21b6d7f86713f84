import { once } from "node:events";
import { createServer, type IncomingMessage, request as startRequest } from "node:http";
import { type AddressInfo, createServer as createListener, type Socket } from "node:net";
import { Duplex, PassThrough } from "node:stream";
import { type BackendResponse, onBackendResponse, readResponsePieces } from "../backends/mod.ts";
import { HttpEngine } from "../engines/mod.ts";
import { EventSplitter } from "../gateway/mod.ts";
import { removeHopByHopHeaders } from "../headers/mod.ts";
import { encodeFrame, FrameDecoder } from "../instances/mod.ts";
import { PipeliningLimit } from "../pipelining/mod.ts";

const READ_BYTES = 65_536;
const MAXIMUM_BYTES = 8 * 1_024 * 1_024;
const TIMEOUT_MILLISECONDS = 600_000;
const LINE = "data: aaaaaaaa\n";
const REFUSAL = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
// Its first character is frequent in the other bytes, so that a search for it has to compare.
const ID = "r41d07be2a35f68";
const STAND_ALONE_EVENT = 'data: {"request":"a","offset":0,"text":"b"}';
const ANSWER_HEAD = `HTTP/1.1 200 OK\r\nx-id: ${ID}\r\n`;
const UPLOAD_HEAD = "POST / HTTP/1.1\r\nHost: a\r\n";

/** Bytes of a peer, and the place that takes them. */
interface CostedInput {
    place: string;
    /** What the bytes are, and the size of the pieces in which they come. */
    form: string;
    /** Repeated until the size is reached. */
    text: string;
    pieceBytes: number;
    take: (bytes: Buffer, pieceBytes: number) => void | Promise<void>;
}

/** A connection on which bytes arrive in pieces of one size. */
class PieceConnection extends Duplex {
    #sent = 0;

    constructor(private readonly bytes: Buffer, private readonly pieceBytes: number, private readonly ends: boolean) {
        super();
    }

    override _read(): void {
        const length = Math.min(this.pieceBytes, this.bytes.length - this.#sent);
        // Each read of a socket has a buffer of its own.
        const piece = Buffer.allocUnsafeSlow(length);
        this.#sent += this.bytes.copy(piece, 0, this.#sent, this.#sent + length);
        if (length > 0) {
            setImmediate(() => this.push(piece));
        }
        else if (this.ends) {
            this.destroy();
        }
    }

    override _write(_chunk: unknown, _encoding: string, done: () => void): void {
        done();
    }

    // What the HTTP classes of Node.js ask of a socket.
    setTimeout = () => this;
    setKeepAlive = () => this;
    setNoDelay = () => this;
    ref = () => this;
    unref = () => this;
    remoteAddress = "127.0.0.1";
}

function cut(bytes: Buffer, pieceBytes: number): Buffer[] {
    const pieces: Buffer[] = [];
    for (let at = 0; at < bytes.length; at += pieceBytes) {
        pieces.push(bytes.subarray(at, at + pieceBytes));
    }
    return pieces;
}

/** Has a server of the router's kind read an upload. */
function upload(head: string, tail = ""): CostedInput["take"] {
    return (bytes, pieceBytes) =>
        new Promise(resolve => {
            const server = createServer((incoming, response) => {
                incoming.on("data", () => {});
                incoming.on("close", () => resolve());
                incoming.on("end", () => response.end());
            });
            new PipeliningLimit(server, { maximumUnansweredRequests: 16 });
            const length = head.includes("chunked") ? "" : `Content-Length: ${bytes.length}\r\n`;
            const whole = Buffer.concat([Buffer.from(`${UPLOAD_HEAD}${head}${length}\r\n`), bytes, Buffer.from(tail)]);
            const connection = new PieceConnection(whole, pieceBytes, false);
            connection.on("close", () => resolve());
            server.emit("connection", connection as unknown as Socket);
        });
}

/** Has a client of the router's kind read an answer. */
function answer(head: string, tail = ""): CostedInput["take"] {
    return (bytes, pieceBytes) =>
        new Promise(resolve => {
            const whole = Buffer.concat([Buffer.from(`${ANSWER_HEAD}${head}\r\n`), bytes, Buffer.from(tail)]);
            const connection = new PieceConnection(whole, pieceBytes, true);
            const outgoing = startRequest({ createConnection: () => connection as unknown as Socket });
            outgoing.on("error", () => resolve());
            outgoing.on("close", () => resolve());
            onBackendResponse(outgoing, { header: "x-id", value: ID }, response => {
                void readResponsePieces(response, TIMEOUT_MILLISECONDS, MAXIMUM_BYTES).then(() => resolve());
            }, () => outgoing.destroy());
            outgoing.end();
        });
}

/** Has the body of an answer judged that has arrived as a whole. */
function judge(bytes: Buffer): Promise<void> {
    const body = Object.assign(new PassThrough(), { complete: true }) as unknown as IncomingMessage;
    const response = {
        body,
        framing: "connection",
        headers: {},
        trailing: () => Buffer.alloc(0),
        wasReset: () => false,
        correlation: { header: "x-id", value: ID },
        close: () => {},
    } as unknown as BackendResponse;
    const read = readResponsePieces(response, TIMEOUT_MILLISECONDS, MAXIMUM_BYTES).then(() => {});
    (body as unknown as PassThrough).end(bytes);
    return read;
}

function split(bytes: Buffer, pieceBytes: number): void {
    const splitter = new EventSplitter();
    cut(bytes, pieceBytes).forEach(piece => splitter.push(piece));
}

function decode(bytes: Buffer, pieceBytes: number): void {
    const decoder = new FrameDecoder(MAXIMUM_BYTES);
    cut(encodeFrame(bytes.toString()), pieceBytes).forEach(piece => decoder.push(piece));
}

function decodeMany(bytes: Buffer, pieceBytes: number): void {
    const decoder = new FrameDecoder(MAXIMUM_BYTES);
    const frame = encodeFrame({ a: 1 }, false);
    const frames = Buffer.concat(Array.from({ length: Math.floor(bytes.length / frame.length) }, () => frame));
    cut(frames, pieceBytes).forEach(piece => decoder.push(piece));
}

/** Has an engine's client of the stand-alone router read a stream. */
async function readStream(bytes: Buffer): Promise<void> {
    const listener = createListener(socket => {
        socket.on("error", () => {});
        socket.end(Buffer.concat([Buffer.from("HTTP/1.1 200 OK\r\n\r\n"), bytes]));
    });
    await once(listener.listen(0, "127.0.0.1"), "listening");
    const engine = new HttpEngine(`127.0.0.1:${(listener.address() as AddressInfo).port}`);
    const run = { request: "a", model: "m", source: "", handle: "", offset: 0, maximumTokens: 1, priority: 0 };
    const stream = await engine.decode(run, new AbortController().signal);
    for await (const event of stream._unsafeUnwrap()) {
        void event;
    }
    await engine.close();
    listener.close();
}

/** Forwards as many heads of 60 kB as the bytes hold. */
function filterHeads(bytes: Buffer): void {
    const headBytes = 60_000;
    const options = Array.from({ length: headBytes / 2 / 5 }, (_, index) => `a${index.toString(36).padStart(3, "0")}`);
    const names = Array.from({ length: headBytes / 2 / 7 }, (_, index) => `b${index.toString(36).padStart(3, "0")}`);
    const headers = { connection: options.join(","), ...Object.fromEntries(names.map(name => [name, "c"])) };
    for (let head = 0; head < bytes.length / headBytes; head++) {
        removeHopByHopHeaders(headers);
    }
}

const SHAPES = [["bytes", 1], ["lines", LINE.length], ["reads", READ_BYTES]] as const;

/** Each place that takes bytes of a peer, with the forms that could cost most. */
export const costedInputs: CostedInput[] = [
    ...SHAPES.map(([form, pieceBytes]) => ({
        place: "event without an end",
        form,
        text: LINE,
        pieceBytes,
        take: split,
    })),
    { place: "stream of events", form: "reads", text: "id: 1\n\n", pieceBytes: READ_BYTES, take: split },
    { place: "body of an answer", form: "refusals at once", text: REFUSAL, pieceBytes: READ_BYTES, take: judge },
    { place: "body of an answer", form: "versions at once", text: "HTTP/1.", pieceBytes: READ_BYTES, take: judge },
    ...SHAPES.map(([form, pieceBytes]) => ({
        place: "answer without a length",
        form,
        text: LINE,
        pieceBytes,
        take: answer(""),
    })),
    {
        place: "answer in chunks of a byte",
        form: "reads",
        text: "1\r\na\r\n",
        pieceBytes: READ_BYTES,
        take: answer("Transfer-Encoding: chunked\r\n", "0\r\n\r\n"),
    },
    { place: "behind an answer", form: "bytes", text: "a", pieceBytes: 1, take: answer("Content-Length: 1\r\n") },
    {
        place: "behind an answer",
        form: "reads",
        text: "a",
        pieceBytes: READ_BYTES,
        take: answer("Content-Length: 1\r\n"),
    },
    ...SHAPES.map(([form, pieceBytes]) => ({
        place: "upload with a length",
        form,
        text: LINE,
        pieceBytes,
        take: upload(""),
    })),
    {
        place: "upload in chunks of a byte",
        form: "reads",
        text: "1\r\na\r\n",
        pieceBytes: READ_BYTES,
        take: upload("Transfer-Encoding: chunked\r\n", "0\r\n\r\n"),
    },
    {
        place: "upload in chunks with extensions",
        form: "reads",
        text: "1;a\r\n\n\r\n",
        pieceBytes: READ_BYTES,
        take: upload("Transfer-Encoding: chunked\r\n", "0\r\n\r\n"),
    },
    ...SHAPES.map(([form, pieceBytes]) => ({
        place: "message of an instance",
        form,
        text: LINE,
        pieceBytes,
        take: decode,
    })),
    { place: "messages of an instance", form: "reads", text: "a", pieceBytes: READ_BYTES, take: decodeMany },
    ...["\n", "\r"].map(lineEnd => ({
        place: "stream of events, stand-alone router",
        form: `reads, lines end with ${JSON.stringify(lineEnd)}`,
        text: `${`:${lineEnd}`.repeat(8_000)}${STAND_ALONE_EVENT}${lineEnd}${lineEnd}`,
        pieceBytes: READ_BYTES,
        take: readStream,
    })),
    { place: "heads of 60 kB", form: "connection options", text: "a", pieceBytes: READ_BYTES, take: filterHeads },
];
