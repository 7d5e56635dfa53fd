/**
 * HTTP server whose clients are limited by the decisions of `@eelgrassfront/front-limits`.
 */
export * from "./bounded_http_server.ts";
