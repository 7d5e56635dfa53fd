/**
 * Path of a job in the HTTP interface of an entry.
 */

/** Returns the path for requests about a job. */
export function jobPath(team: string, key: string): string {
  return `/v1/jobs/${encodeURIComponent(team)}/${encodeURIComponent(key)}`;
}
