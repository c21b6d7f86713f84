/** What ends the body of a response (RFC 9112, section 6.3); `"connection"`: the end of its connection. */
export type BodyFraming = "none" | "length" | "chunked" | "connection";
