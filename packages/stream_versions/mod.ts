/** Software versions of servers: which of them began a stream that a caller takes up again. */
export { StreamVersions } from "./stream_versions.ts";
export type { StreamVersionsOptions } from "./stream_versions_options.ts";
export type { VersionFinding } from "./version_finding.ts";
