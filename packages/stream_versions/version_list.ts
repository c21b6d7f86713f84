/** List in the store of the software versions that may have begun a stream of a service. */
export interface VersionList {
    versions: ReadonlySet<string>;
    /** Era of the store in which the list was written; undefined if the list does not say it. */
    era: number | undefined;
}
