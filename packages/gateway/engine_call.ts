/** An HTTP request that controls an engine. */
export interface EngineCall {
    method: string;
    path: string;
    body?: string;
}
