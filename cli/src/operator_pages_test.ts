/**
 * Checks in both directions that the pages for operators agree with the enums and the typed texts. With
 * `UPDATE_GOLDEN=1` the tables between the markers are regenerated.
 */
import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { Counter, EventNumber, Gauge } from "@eelgrassfront/model";
import { expect } from "earl";
import { EVENT_EXPLANATIONS } from "./event_explanations.ts";
import { ExplainedKind } from "./explanation.ts";
import { explanationsOf } from "./explanation_index.ts";
import { COUNTER_MEANINGS, GAUGE_MEANINGS } from "./metric_explanations.ts";

const ROOT = fileURLToPath(new URL("../../", import.meta.url));
const SOURCE_FOLDERS = ["domain", "adapters", "daemon"];

type Row = readonly string[];

interface Section {
  readonly page: string;
  readonly name: string;
  readonly head: Row;
  readonly rows: readonly Row[];
}

function explanationRows(kind: ExplainedKind): readonly Row[] {
  return explanationsOf(kind).map(({ term, meaning, action }) => [
    `\`${term}\``,
    meaning,
    action,
  ]);
}

/** Returns the names and numbers of the events. */
function eventNames(): readonly (readonly [string, EventNumber])[] {
  return Object.entries(EventNumber).filter(
    (entry): entry is [string, EventNumber] => typeof entry[1] === "number",
  );
}

function reasonSection(kind: ExplainedKind): Section {
  return {
    page: "OPERATIONS.md",
    name: kind,
    head: ["reason", "meaning", "what to do"],
    rows: explanationRows(kind),
  };
}

const SECTIONS: readonly Section[] = [
  {
    page: "EVENTS.md",
    name: "events",
    head: ["number", "name", "meaning", "what to do"],
    rows: eventNames().map(([name, number]) => [
      String(number),
      name,
      EVENT_EXPLANATIONS[number].meaning,
      EVENT_EXPLANATIONS[number].action,
    ]),
  },
  {
    page: "METRICS.md",
    name: "counters",
    head: ["counter", "meaning"],
    rows: Object.values(Counter).map((counter) => [
      `\`${counter}\``,
      COUNTER_MEANINGS[counter],
    ]),
  },
  {
    page: "METRICS.md",
    name: "gauges",
    head: ["gauge", "meaning"],
    rows: Object.values(Gauge).map((gauge) => [
      `\`${gauge}\``,
      GAUGE_MEANINGS[gauge],
    ]),
  },
  reasonSection(ExplainedKind.NotRun),
  reasonSection(ExplainedKind.Failed),
  reasonSection(ExplainedKind.Unknown),
  reasonSection(ExplainedKind.Rejected),
  reasonSection(ExplainedKind.TaskRefusal),
  reasonSection(ExplainedKind.Retry),
];

function pagePath(page: string): string {
  return join(ROOT, "docs", page);
}

/** Splits a page into the text before, within and after a section. */
function splitPage({ page, name }: Section): readonly [string, string, string] {
  const start = `<!-- begin ${name} -->\n`;
  const end = `<!-- end ${name} -->`;
  const [before, rest] = readFileSync(pagePath(page), "utf8").split(start);
  const [within, after] = (rest ?? "").split(`\n${end}`);
  if (before === undefined || within === undefined || after === undefined) {
    throw new Error(`${page} has no section ${name}`);
  }
  return [`${before}${start}`, within, `\n${end}${after}`];
}

function readRows(text: string): readonly Row[] {
  return text.split("\n").filter((line) => line.startsWith("|"))
    .map((line) => line.slice(1, -1).split("|").map((cell) => cell.trim()))
    .filter(([first]) => !/^-+$/.test(first ?? ""));
}

function formatRows(rows: readonly Row[]): string {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0))
  );
  const [head = [], ...body] = rows;
  const rule = widths.map((width) => "-".repeat(width));
  return [head, rule, ...body]
    .map((row) =>
      `| ${
        row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join(" | ")
      } |`
    ).join("\n");
}

function sourceFiles(folder: string): readonly string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) {
      const isSource = !["dist", "node_modules"].includes(entry.name);
      return isSource ? sourceFiles(path) : [];
    }
    const isTest = entry.name.endsWith("_test.ts");
    return entry.name.endsWith(".ts") && !isTest ? [path] : [];
  });
}

const sources = SOURCE_FOLDERS.flatMap((folder) =>
  sourceFiles(join(ROOT, folder))
)
  .map((path) => readFileSync(path, "utf8")).join("\n");

describe("the pages for operators", () => {
  for (const section of SECTIONS) {
    it(`list the ${section.name} in ${section.page}, each once and no other`, () => {
      const expected = [section.head, ...section.rows];
      if (process.env["UPDATE_GOLDEN"] === "1") {
        const [before, , after] = splitPage(section);
        const text = `${before}\n${formatRows(expected)}\n${after}`;
        writeFileSync(pagePath(section.page), text);
      }
      const [, within] = splitPage(section);
      expect(readRows(within)).toEqual(expected.map((row) => [...row]));
    });
  }

  it("give each event a unique number", () => {
    const numbers = eventNames().map(([, number]) => number);
    expect(new Set(numbers).size).toEqual(numbers.length);
  });

  it("name only events, counters and gauges that the code uses", () => {
    const names = [
      ...eventNames().map(([name]) => `EventNumber.${name}`),
      ...Object.keys(Counter).map((name) => `Counter.${name}`),
      ...Object.keys(Gauge).map((name) => `Gauge.${name}`),
    ];
    const unused = names.filter((name) =>
      !new RegExp(`${name.replace(".", "\\.")}\\b`).test(sources)
    );
    expect(unused).toEqual([]);
  });
});
