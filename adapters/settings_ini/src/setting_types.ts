/**
 * Schemas of single settings. Durations and sizes carry their unit in the file, so that a number is
 * never read in the wrong unit.
 */
import * as zod from "zod";

const DURATION_PATTERN = /^(\d+)(ms|s|min|h)$/;
const SIZE_PATTERN = /^(\d+)(B|KiB|MiB)$/;
const ADDRESS_PATTERN = /^([0-9.]+|\[[0-9a-f:]+\]):(\d{1,5})$/;
const IDENTIFIER_PATTERN = /^[A-Za-z0-9._-]{1,64}$/;
const MINIMUM_SECRET_LENGTH = 8;
const HIGHEST_PORT = 65_535;

const MILLISECONDS_OF_UNIT: ReadonlyMap<string, number> = new Map([
  ["ms", 1],
  ["s", 1_000],
  ["min", 60_000],
  ["h", 3_600_000],
]);
const BYTES_OF_UNIT: ReadonlyMap<string, number> = new Map([
  ["B", 1],
  ["KiB", 1_024],
  ["MiB", 1_048_576],
]);

/** Address of a process. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** A duration with its unit, in milliseconds. */
export const duration: zod.ZodType<number> = zod.string({
  error: "a duration such as 250ms, 5s or 10min",
}).regex(DURATION_PATTERN, "a duration such as 250ms, 5s or 10min")
  .transform((text) => scale(DURATION_PATTERN, MILLISECONDS_OF_UNIT, text));

/** A size with its unit, in bytes. */
export const size: zod.ZodType<number> = zod.string({
  error: "a size such as 512B, 64KiB or 8MiB",
}).regex(SIZE_PATTERN, "a size such as 512B, 64KiB or 8MiB")
  .transform((text) => scale(SIZE_PATTERN, BYTES_OF_UNIT, text));

/** An address as IP number and port. */
export const address: zod.ZodType<Address> = zod.string({
  error: "an address such as 127.0.0.1:7000",
}).refine(isAddress, "an IP number and a port, such as 127.0.0.1:7000")
  .transform(splitAddress);

/** Addresses, separated by spaces. */
export const addresses: zod.ZodType<readonly Address[]> = zod.string({
  error: "addresses such as 127.0.0.1:7000 127.0.0.1:7001",
}).refine(
  (value) => value.split(" ").every(isAddress),
  "IP numbers and ports with a space between them",
).transform((value) => value.split(" ").map(splitAddress));

/** A whole number from 1. */
export const count: zod.ZodType<number> = zod.string({
  error: "a whole number from 1",
}).regex(/^[1-9]\d{0,8}$/, "a whole number from 1").transform(Number);

/** A text that is not empty. */
export const text: zod.ZodType<string> = zod.string({ error: "a text" }).min(
  1,
  "a text that is not empty",
);

/** A name, such as that of a process or of an availability zone. */
export const identifier: zod.ZodType<string> = zod.string({
  error: "1 to 64 letters, digits, dots, underscores or dashes",
}).regex(
  IDENTIFIER_PATTERN,
  "1 to 64 letters, digits, dots, underscores or dashes",
);

/** A key or token, whose value never appears in a fault. */
export const secret: zod.ZodType<string> = zod.string({
  error: `a text of at least ${MINIMUM_SECRET_LENGTH} characters`,
}).min(
  MINIMUM_SECRET_LENGTH,
  `a text of at least ${MINIMUM_SECRET_LENGTH} characters`,
);

/** Origin of an HTTP service, without a path. */
export const origin: zod.ZodType<string> = zod.string({
  error: "an origin such as http://127.0.0.1:7000",
}).refine(isOrigin, "an origin such as http://127.0.0.1:7000, without a path");

/** Formats an address as `host:port`. */
export function formatAddress({ host, port }: Address): string {
  return `${host}:${port}`;
}

function scale(
  pattern: RegExp,
  units: ReadonlyMap<string, number>,
  value: string,
): number {
  const [, amount, unit] = pattern.exec(value) ?? [];
  return Number(amount) * (units.get(unit ?? "") ?? Number.NaN);
}

function isAddress(value: string): boolean {
  const port = Number(ADDRESS_PATTERN.exec(value)?.[2]);
  return port > 0 && port <= HIGHEST_PORT;
}

function splitAddress(value: string): Address {
  const [, host, port] = ADDRESS_PATTERN.exec(value) ?? [];
  return { host: host ?? "", port: Number(port) };
}

function isOrigin(value: string): boolean {
  if (!URL.canParse(value)) return false;
  const { origin, protocol } = new URL(value);
  return origin === value && ["http:", "https:"].includes(protocol);
}
