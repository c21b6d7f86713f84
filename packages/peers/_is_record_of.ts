/** Returns whether a value that JSON text contained is an object with only such values. */
export function isRecordOf(value: unknown, isValue: (value: unknown) => boolean): boolean {
    return typeof value === "object" && !!value && !Array.isArray(value) && Object.values(value).every(isValue);
}
