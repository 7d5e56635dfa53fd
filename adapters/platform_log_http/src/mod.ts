/**
 * HTTP client of the platform's log.
 */
export * from "./http_platform_log.ts";
