/** List in the store of the software versions that may have begun a stream of a service. */
export interface VersionList {
    versions: ReadonlySet<string>;
    /** Era of the store for which the list is complete; undefined if the list does not say it. */
    era: number | undefined;
    /** Starts, in Unix milliseconds, of processes that have begun streams before their entry came, by the id of their server. */
    unregistered: ReadonlyMap<string, number>;
}
