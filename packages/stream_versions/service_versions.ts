import { UnregisteredProcesses } from "./_unregistered_processes.ts";
import type { VersionList } from "./version_list.ts";
import type { VersionObservation } from "./version_observation.ts";

/** Time in milliseconds without a read of the store, above which an instance may have missed a version before its return. */
const MAXIMUM_GAP_MILLISECONDS = 5_000;

/**
 * Versions of one service that may have begun a stream, as one instance has observed them, and whether it can be certain
 * that there are no others. A store that has come back from a copy can lack a version, so an instance is certain only if it
 * was there before, if the list was written since, or once the streams of before can't be taken up any more.
 *
 * @example
 * ```ts
 * const versions = new ServiceVersions(false, observation);
 * versions.observe(laterObservation);
 * versions.candidates; // ["v1"]
 * versions.isCertain; // false until the list vouches for this era
 * ```
 */
export class ServiceVersions {
    /** Versions with the time in milliseconds at which a server of them was last known, or they were first listed. */
    readonly #knownAt = new Map<string, number>();
    /** Versions with the time in milliseconds at which a server of them was last registered. */
    readonly #registeredAt = new Map<string, number>();
    readonly #unregistered = new UnregisteredProcesses();
    /** Versions of the servers that are registered now. */
    #registered: ReadonlySet<string> = new Set();
    /** Time in milliseconds since which the present era has been observed, and on the monotonic clock. */
    #since: number;
    #monotonicSince: number;
    /** Time in milliseconds of the last change of the era that this instance was there to see. */
    #survivedAt = Number.NEGATIVE_INFINITY;
    #era: number;
    #isCertain: boolean;
    /** Start of the last read of the store that was observed, in milliseconds. */
    #readAt: number;
    #lifetimeMilliseconds = 0;

    /**
     * @param isCertain Whether no other version can have begun a stream before.
     * @param observation What the first look shows.
     */
    constructor(isCertain: boolean, observation: VersionObservation) {
        this.#isCertain = isCertain;
        this.#era = observation.era;
        this.#since = observation.now;
        this.#monotonicSince = observation.monotonicNow;
        this.#readAt = observation.confirmedAt;
        this.observe(observation);
    }

    /** Versions that may have begun a stream that can still be taken up. */
    get candidates(): string[] {
        return [...this.#knownAt.keys(), ...this.#unregistered.names];
    }

    /** Whether no version but the candidates can have begun such a stream. */
    get isCertain(): boolean {
        return this.#isCertain;
    }

    /**
     * Takes note of what is registered and listed.
     *
     * @param observation What a look shows.
     */
    observe(observation: VersionObservation): void {
        const { registered: { servers, lifetimeMilliseconds }, list, now } = observation;
        this.#lifetimeMilliseconds = lifetimeMilliseconds;
        this.#registered = new Set(servers.map(({ softwareVersion }) => softwareVersion));
        for (const version of this.#registered) {
            this.#knownAt.set(version, now);
            this.#registeredAt.set(version, now);
        }
        for (const version of list.versions) {
            this.#knownAt.set(version, this.#knownAt.get(version) ?? now);
        }
        for (const [version, at] of this.#knownAt) {
            if (now - at >= lifetimeMilliseconds && !list.versions.has(version)) {
                this.#knownAt.delete(version);
                this.#registeredAt.delete(version);
            }
        }
        this.#unregistered.observe(observation);
        this.#follow(observation);
    }

    /**
     * Decides what the list in the store should hold.
     *
     * @param list What it holds.
     * @param now Current time in milliseconds.
     * @returns The versions, and the era for which they are complete; undefined if the list is right.
     */
    correct(list: VersionList, now: number): VersionList | undefined {
        const isVouching = list.era === this.#era;
        const unregistered = this.#unregistered.kept();
        if (this.#isCertain && !isVouching) {
            return { versions: new Set(this.#knownAt.keys()), era: this.#era, unregistered };
        }
        const left = [...this.#registeredAt].filter(([, at]) => this.#mustOutliveReturn(at, now));
        const wanted = new Set([...this.#registered, ...left.map(([version]) => version)]);
        const lacking = [...wanted].filter(version => !list.versions.has(version));
        const isKept = (version: string) =>
            now - (this.#knownAt.get(version) ?? -Infinity) < this.#lifetimeMilliseconds;
        // An instance that may lack knowledge removes nothing.
        const kept = [...list.versions].filter(version => !this.#isCertain || isKept(version));
        return lacking.length === 0 && kept.length === list.versions.size
                && unregistered.size === list.unregistered.size
            ? undefined
            : { versions: new Set([...kept, ...lacking]), era: list.era, unregistered };
    }

    /** Whether a version that has left must be listed, since the list may be that of an instance which never saw it. */
    #mustOutliveReturn(registeredAt: number, now: number): boolean {
        return now - registeredAt < this.#lifetimeMilliseconds
            && now - this.#survivedAt < this.#lifetimeMilliseconds;
    }

    #follow({ list, era, now, monotonicNow, confirmedAt }: VersionObservation): void {
        if (era !== this.#era) {
            this.#isCertain &&= now - this.#readAt <= MAXIMUM_GAP_MILLISECONDS;
            this.#era = era;
            this.#since = now;
            this.#monotonicSince = monotonicNow;
            this.#survivedAt = this.#isCertain ? now : this.#survivedAt;
        }
        this.#readAt = confirmedAt;
        // A step of the wall clock makes the other clock run fast.
        const observedMilliseconds = Math.min(confirmedAt - this.#since, monotonicNow - this.#monotonicSince);
        this.#isCertain ||= list.era === era
            || observedMilliseconds >= this.#lifetimeMilliseconds;
    }
}
