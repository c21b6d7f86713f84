/** Removes the headers that others replace; both are lists of alternating names and values. */
export function withoutHeaders(headers: string[], replaced: string[]): string[] {
    const names = new Set(replaced.filter((_, index) => index % 2 === 0).map(name => name.toLowerCase()));
    return headers.filter((_, index) => !names.has((headers[index - index % 2] ?? "").toLowerCase()));
}
