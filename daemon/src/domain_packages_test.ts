/**
 * The packages of the domain, which other programs embed: the README of each has an example that
 * compiles, runs and prints the documented output. `UPDATE_GOLDEN=1` rewrites the examples in the READMEs.
 */
import { spawnSync } from "node:child_process";
import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { expect } from "earl";

const DOMAIN = fileURLToPath(new URL("../../domain/", import.meta.url));
const EXAMPLE_PATTERN = /```ts\n([\s\S]*?)```/;
const PRINTS = "// prints: ";

function read(...path: readonly string[]): string {
  return readFileSync(join(DOMAIN, ...path), "utf8");
}

function expectedOutput(example: string): string {
  return example.split("\n").filter((line) => line.startsWith(PRINTS))
    .map((line) => `${line.slice(PRINTS.length)}\n`).join("");
}

describe("the packages of the domain", () => {
  for (const name of readdirSync(DOMAIN)) {
    it(`show an example of ${name} that runs`, () => {
      const example = read(name, "src", "example.ts");
      const readme = read(name, "README.md");
      if (process.env["UPDATE_GOLDEN"] === "1") {
        const updated = readme.replace(
          EXAMPLE_PATTERN,
          () => `\`\`\`ts\n${example}\`\`\``,
        );
        writeFileSync(join(DOMAIN, name, "README.md"), updated);
      }
      const [, quoted] = EXAMPLE_PATTERN.exec(read(name, "README.md")) ?? [];
      expect(quoted).toEqual(example);
      const script = join(DOMAIN, name, "dist", "example.js");
      const ended = spawnSync(process.execPath, [script]);
      expect(ended.stderr.toString("utf8")).toEqual("");
      expect(ended.stdout.toString("utf8")).toEqual(expectedOutput(example));
      expect(expectedOutput(example).length).toBeGreaterThan(0);
    });

    it(`export one file of ${name}`, () => {
      const { exports }: { readonly exports: object } = JSON.parse(
        read(name, "package.json"),
      );
      expect(Object.keys(exports)).toEqual(["."]);
    });
  }
});
