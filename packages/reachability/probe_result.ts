/**
 * What a probe of a server shows. `"answered"`: any response has come. `"failed"`: no connection could be established, or it
 * was reset without a response. `"silent"`: the connection stands, and nothing has come in time.
 */
export type ProbeResult = "answered" | "failed" | "silent";
