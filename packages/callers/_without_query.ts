/** Returns a path without its query. */
export function withoutQuery(path: string): string {
    const queryStart = path.indexOf("?");
    return queryStart === -1 ? path : path.slice(0, queryStart);
}
