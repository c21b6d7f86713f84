import { BackendConnectionPool, type BackendFault, type BackendResponse } from "../backends/mod.ts";
import { monotonicMilliseconds } from "../clocks/mod.ts";
import { mayGoOn } from "./_may_go_on.ts";
import { readPeerRefusal } from "./_read_peer_refusal.ts";
import { relayedHeaders } from "./_relayed_headers.ts";
import type { GatewayContext } from "./gateway_context.ts";
import type { GatewayRefusal } from "./gateway_refusal.ts";
import type { GatewayRefusalReason } from "./gateway_refusal_reason.ts";
import type { GatewayRequest } from "./gateway_request.ts";
import { relayAnswer } from "./relay_answer.ts";
import type { RelayPeer } from "./relay_peer.ts";
import { RelayPeerChooser } from "./relay_peer_chooser.ts";
import { sendRefusal } from "./send_refusal.ts";

/** Largest number of peers that one request is passed on to. */
const MAXIMUM_PEERS = 3;
const NO_ADDRESSES: ReadonlySet<string> = new Set();
const OK_STATUS = 200;
/** Statuses with which an instance or a server says that it has not run a request. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const LEAST_REDIRECTION_STATUS = 300;

/**
 * How passing a request on to one peer ended. `"ended"`: its caller has got the whole answer. `"not-run"`: the peer has
 * not run it. `"may-have-run"`: there is no whole answer, and a part of it may have been sent.
 */
type RelayOutcome =
    | { kind: "ended"; status: number; }
    | { kind: "not-run" | "may-have-run"; message: string; };

/**
 * Passes requests on to another instance while this one is partitioned from all backend servers. The peer checks, limits,
 * counts and answers a request like any other one.
 *
 * @example
 * ```ts
 * const relay = new PeerRelay(context);
 * if (!relay.canPass(request) || !await relay.pass(request, "isolated")) {
 *     // Handle the request here.
 * }
 * relay.close();
 * ```
 */
export class PeerRelay {
    readonly #pool = new BackendConnectionPool();
    readonly #chooser: RelayPeerChooser;

    /**
     * @param context Shared objects of the gateway.
     */
    constructor(private readonly context: GatewayContext) {
        this.#chooser = new RelayPeerChooser(context.settings().failureDomain, () => context.peers());
    }

    /**
     * Returns whether a request is to be passed on: this instance is isolated, and a peer may take the request.
     *
     * @param request The request.
     * @returns Whether it is.
     */
    canPass(request: GatewayRequest): boolean {
        return this.context.reachability.isIsolated && this.hasPeer(request);
    }

    /**
     * Returns whether a request could be passed on if this instance were isolated: a peer may reach servers, and no answer
     * has begun, unless it is a stream that may go on. A request that a peer has passed on stays here.
     *
     * @param request The request.
     * @returns Whether it could.
     */
    hasPeer(request: GatewayRequest): boolean {
        return !request.isRelayed && !request.signal.aborted && (!request.response.headersSent || mayGoOn(request))
            && request.triedPeers.size < MAXIMUM_PEERS
            && this.#chooser.choose(request.service.name, request.triedPeers) !== undefined;
    }

    /**
     * Passes a request on and relays the answer to its caller.
     *
     * @param request The request.
     * @param why Why it is passed on, for the log.
     * @returns Whether its caller has been answered, with a refusal if need be; false if no peer has run it.
     */
    async pass(request: GatewayRequest, why: "isolated" | GatewayRefusalReason): Promise<boolean> {
        while (this.canPass(request)) {
            const peer = this.#chooser.choose(request.service.name, request.triedPeers);
            if (!peer) {
                break;
            }
            request.triedPeers.add(peer.name);
            const startedAt = monotonicMilliseconds();
            request.exchange.isCommitted = !request.service.engine && request.route.kind !== "idempotent";
            const endRequest = this.#chooser.begin(peer.name);
            const outcome = await this.#send(request, peer).finally(endRequest);
            this.context.metrics.increment("requests_relayed_total", { result: outcome.kind });
            this.context.logger.info("request passed on to a peer", {
                request: request.id,
                peer: peer.name,
                outcome: outcome.kind === "ended" ? outcome.status : outcome.kind,
                cause: outcome.kind === "ended" ? undefined : outcome.message,
                attempt: request.triedPeers.size,
                why,
                events: request.exchange.events,
                milliseconds: Math.round(monotonicMilliseconds() - startedAt),
                afterMilliseconds: Math.round(monotonicMilliseconds() - request.receivedAt),
            });
            if (outcome.kind === "ended") {
                return true;
            }
            request.exchange.isCommitted = false;
            // The peer may have sent the request to as many servers as its route allows.
            if (outcome.kind === "may-have-run") {
                sendRefusal(request, failureRefusal(request, outcome.message), this.context);
                return true;
            }
        }
        return false;
    }

    /** Closes the connections to peers that are not in use, which count among those of their callers. */
    closeIdle(): void {
        this.#pool.retain(NO_ADDRESSES);
    }

    /** Closes the connections to peers. */
    close(): void {
        this.#pool.close();
    }

    async #send(request: GatewayRequest, peer: RelayPeer): Promise<RelayOutcome> {
        const { headers } = this.context;
        const remaining = request.deadline - monotonicMilliseconds();
        const sent = await this.#pool.send({
            address: peer.callersAddress,
            method: request.method,
            path: request.path,
            headers: relayedHeaders(request, headers),
            body: request.body.length > 0 ? request.body : undefined,
            timeoutMilliseconds: Math.max(1, remaining),
            signal: request.signal,
            correlation: { header: headers.requestId, value: request.id },
        });
        if (sent.isErr()) {
            return this.#applyFault(peer.name, sent.error);
        }
        const answer = sent.value;
        const left = Math.max(1, request.deadline - monotonicMilliseconds());
        const refusal = await readPeerRefusal(answer, left, request.memory, headers);
        if (refusal?.kind === "broken") {
            return { kind: "may-have-run", message: "The peer's answer broke off" };
        }
        if (refusal && (refusal.reason === "no-backend-server" || refusal.reason === "leaving")) {
            if (refusal.reason === "leaving") {
                this.#chooser.leaveOutLeaving(peer);
            }
            else {
                this.#chooser.leaveOut(peer.name, request.service.name);
            }
            return { kind: "not-run", message: `The peer has refused the request: ${refusal.reason}` };
        }
        if (!this.#isGenuine(answer)) {
            answer.close();
            return { kind: "may-have-run", message: "The peer's answer is not signed by a server" };
        }
        const isRefused = NOT_RUN_STATUSES.has(answer.status) && answer.headers[headers.signature] === undefined;
        // What has run from here is not called not run, whatever the peer knows.
        if ((request.response.headersSent && answer.status !== OK_STATUS) || (request.exchange.runs > 0 && isRefused)) {
            answer.close();
            const kind = NOT_RUN_STATUSES.has(answer.status) ? "not-run" : "may-have-run";
            return { kind, message: `The peer has answered with status ${answer.status}` };
        }
        return await relayAnswer(request, answer, refusal?.body)
            ? { kind: "ended", status: answer.status }
            : { kind: "may-have-run", message: "The peer's answer broke off" };
    }

    #applyFault(peer: string, { verdict, kind, message }: BackendFault): RelayOutcome {
        if (kind === "unreachable") {
            this.#chooser.leaveOut(peer);
        }
        return { kind: verdict, message };
    }

    /** Whether an answer is a failure or one that a server has signed. */
    #isGenuine({ status, headers }: BackendResponse): boolean {
        return status >= LEAST_REDIRECTION_STATUS || headers[this.context.headers.signature] !== undefined;
    }
}

function failureRefusal({ signal, deadline }: GatewayRequest, message: string): GatewayRefusal {
    const verdict = "may-have-run";
    return signal.aborted || monotonicMilliseconds() >= deadline
        ? { status: 504, reason: "deadline-passed", verdict, message: "No answer in time" }
        : { status: 502, reason: "backend-failed", verdict, message };
}
