import { within } from "../clocks/mod.ts";
import type { CoordinationStore } from "../coordination/mod.ts";
import type { StoredItem } from "../replica/mod.ts";
import { parseVersionList } from "./_parse_version_list.ts";
import type { VersionList } from "./version_list.ts";

/** Longest wait in milliseconds for a read, as for the record of a stream. */
const READ_MILLISECONDS = 400;

/** A list as it stands in the store. */
interface ReadList {
    list: VersionList;
    /** Era of the store in which it was read. */
    era: number;
    /** The item that holds it; undefined if there is none. */
    item: StoredItem | undefined;
}

/** Reads the list of a service's versions in the store anew; calls that come during a read share the next one. */
export class VersionListReader {
    readonly #reading = new Map<string, Promise<unknown>>();
    readonly #next = new Map<string, Promise<ReadList | undefined>>();

    constructor(private readonly store: Pick<CoordinationStore, "list">) {}

    /** Reads the list of a key; undefined if the store does not answer in time. */
    async read(key: string): Promise<ReadList | undefined> {
        const next = this.#next.get(key) ?? this.#startAfter(key, this.#reading.get(key));
        return await within(next, READ_MILLISECONDS);
    }

    #startAfter(key: string, former: Promise<unknown> | undefined): Promise<ReadList | undefined> {
        const next = Promise.resolve(former).then(async () => {
            this.#next.delete(key);
            const reading = this.#read(key);
            this.#reading.set(key, reading);
            return await reading.finally(() => {
                if (this.#reading.get(key) === reading) {
                    this.#reading.delete(key);
                }
            });
        });
        this.#next.set(key, next);
        return next;
    }

    async #read(key: string): Promise<ReadList | undefined> {
        const snapshot = await this.store.list(key);
        if (snapshot.isErr()) {
            return undefined;
        }
        const { items, era } = snapshot.value;
        const item = items.find(candidate => candidate.key === key);
        return { list: parseVersionList(item?.value), era, item };
    }
}
