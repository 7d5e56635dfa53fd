/**
 * Runs every compiled test file of the workspace with Node's test runner. Tests listed in KNOWN-RED.txt
 * run separately: their result is printed and does not affect the exit code. Tests of crowds of clients measure memory
 * and run one after another, before the others.
 */
import { spawnSync } from "node:child_process";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

/** Whether a path is a compiled test whose source exists; earlier builds may leave outdated files. */
function isTest(path) {
  const source = path.replace(/dist([/\\][^/\\]+)\.js$/, "src$1.ts");
  return path.endsWith("_test.js") && source.endsWith("_test.ts") &&
    existsSync(source);
}

function findTests(folder) {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.name === "node_modules" || entry.name === ".git") return [];
    if (entry.isDirectory()) return findTests(path);
    return isTest(path) ? [path] : [];
  });
}

const knownRed = existsSync("KNOWN-RED.txt")
  ? readFileSync("KNOWN-RED.txt", "utf8").split("\n")
    .filter((line) => line.startsWith("test: "))
    .map((line) => line.slice("test: ".length).trim())
  : [];
const isKnownRed = (path) => knownRed.includes(path);
const tests = findTests(".").sort();
const green = tests.filter((path) => !isKnownRed(path));
const red = tests.filter(isKnownRed);
const isCrowd = (path) => path.endsWith("_crowd_test.js");

const run = (paths) =>
  spawnSync(process.execPath, ["--test", ...paths], { stdio: "inherit" });

for (const path of red) {
  console.log(`known red, result ignored: ${path}`);
  const result = run([path]);
  console.log(`known red ${path}: exit ${result.status}`);
}
const missing = knownRed.filter((path) => !tests.includes(path));
if (missing.length > 0) {
  console.error(`KNOWN-RED.txt names no such test: ${missing.join(", ")}`);
  process.exit(1);
}
const crowds = green.filter(isCrowd).map((path) => run([path]).status ?? 1);
const others = run(green.filter((path) => !isCrowd(path))).status ?? 1;
process.exit(Math.max(others, ...crowds));
