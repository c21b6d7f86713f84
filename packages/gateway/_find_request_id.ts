/** Finds the caller's id of a request in the first bytes of a request that is not parsed; empty if they hold none. */
export function findRequestId(bytes: Buffer, header: string): string {
    const prefix = `${header.toLowerCase()}:`;
    const [head = ""] = bytes.toString("latin1").split("\r\n\r\n");
    const line = head.split("\r\n").find(text => text.toLowerCase().startsWith(prefix)) ?? prefix;
    return line.slice(prefix.length).trim();
}
