/**
 * Client of the platform log.
 */
export * from "./http_platform_log.ts";
