/** What began a stream. */
export interface StreamOrigin {
    /** Name of the service. */
    service: string;
    /** Software version of the server whose events came first. */
    version: string;
}
