const CARRIAGE_RETURN = 13;
const LINE_FEED = 10;

/**
 * Place behind the first blank line, which ends a head or a chunked body; undefined if there is none. The parser of Node.js
 * takes a line feed alone for the end of a head too.
 */
export function findBlankLine(bytes: Buffer): number | undefined {
    for (let index = bytes.indexOf(LINE_FEED); index >= 0; index = bytes.indexOf(LINE_FEED, index + 1)) {
        const next = bytes[index + 1] === CARRIAGE_RETURN ? index + 2 : index + 1;
        if (bytes[next] === LINE_FEED) {
            return next + 1;
        }
    }
    return undefined;
}
