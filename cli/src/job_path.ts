/**
 * The path of a job at an entry.
 */

/** Returns the path under which an entry tells of a job. */
export function jobPath(team: string, key: string): string {
  return `/v1/jobs/${encodeURIComponent(team)}/${encodeURIComponent(key)}`;
}
