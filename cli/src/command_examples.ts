/**
 * Examples in the help of each command.
 */

const EXAMPLES: ReadonlyMap<string, readonly string[]> = new Map([
  ["", [
    "npx eelgrassfront submit --entry 10.0.1.10:8080 --file check.json",
    "npx eelgrassfront explain queue-full",
  ]],
  ["submit", [
    "npx eelgrassfront submit --entry 10.0.1.10:8080 --file check.json",
    "npx eelgrassfront submit --entry 10.0.1.11:8080 --file check.json --key dossier-4711 --epoch 812 --json",
  ]],
  ["status", [
    "npx eelgrassfront status --entry 10.0.1.10:8080 --team assessors --key dossier-4711",
  ]],
  ["cancel", [
    "npx eelgrassfront cancel --entry 10.0.1.10:8080 --team assessors --key dossier-4711",
  ]],
  ["drain", [
    "npx eelgrassfront drain --operators 10.0.2.10:7200",
    "npx eelgrassfront drain --operators 10.0.2.10:7200 --wait 60",
  ]],
  ["fleet", [
    "npx eelgrassfront fleet --operators 10.0.1.10:7200,10.0.2.10:7200",
    "npx eelgrassfront fleet --operators 10.0.1.10:7200 --json",
  ]],
  ["configuration", [
    "npx eelgrassfront configuration check --file terms.ini --log http://10.0.0.5:9000",
  ]],
  ["configuration check", [
    "npx eelgrassfront configuration check --file terms.ini --log http://10.0.0.5:9000",
  ]],
  ["configuration publish", [
    "npx eelgrassfront configuration publish --file terms.ini --log http://10.0.0.5:9000 --wait 10.0.1.10:7200",
  ]],
  ["configuration show", [
    "npx eelgrassfront configuration show --log http://10.0.0.5:9000",
  ]],
  ["configuration history", [
    "npx eelgrassfront configuration history --log http://10.0.0.5:9000 --json",
  ]],
  ["explain", [
    "npx eelgrassfront explain deadline-unreachable",
    "npx eelgrassfront explain 2104",
  ]],
]);

/** Returns the examples of a command, which is named by its path, such as `configuration check`. */
export function examplesOf(path: string): readonly string[] {
  return EXAMPLES.get(path) ?? [];
}
