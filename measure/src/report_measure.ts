/**
 * One page with the curves of the policy measures: response over load, what other work keeps during a
 * flood, and the policy beside baselines and bound. The page holds its drawings and needs nothing else.
 */
import { mkdir, writeFile } from "node:fs/promises";
import { parse, View } from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import { measureFlood } from "./flood_measure.ts";
import { type MeasureOptions, measurePolicies } from "./policies_measure.ts";
import type { RunSummary } from "./policy_statistics.ts";

/** One point of a drawing: a class of work under a load and a policy. */
interface Point {
  readonly load: string;
  readonly policy: string;
  readonly work: string;
  readonly p99: number;
  readonly messages: number;
  readonly goodput: number;
  readonly completedShare: number;
}

/** One drawing of the page. */
interface Drawing {
  readonly title: string;
  readonly points: readonly Point[];
  readonly quantity: Extract<keyof Point, "p99" | "goodput" | "completedShare">;
  readonly quantityTitle: string;
  readonly isLogarithmic: boolean;
}

const FOLDER = "report";
const PANEL_WIDTH_PIXELS = 170;
const PANEL_HEIGHT_PIXELS = 220;

/** Writes the page and returns where it is. */
export async function measureReport(
  options: MeasureOptions = {},
): Promise<object> {
  const policies = await measurePolicies(options);
  const flood = await measureFlood(options);
  const response = "p99 of response over ideal";
  const drawings: readonly Drawing[] = [
    {
      title: "Response over load, beside baselines and bound",
      points: policies.runs.flatMap(pointsOf),
      quantity: "p99",
      quantityTitle: response,
      isLogarithmic: true,
    },
    {
      title: "Goodput over load, as a share of all slots",
      points: policies.runs.flatMap(pointsOf),
      quantity: "goodput",
      quantityTitle: "goodput",
      isLogarithmic: false,
    },
    {
      title: "Response during a flood",
      points: flood.runs.flatMap(pointsOf),
      quantity: "p99",
      quantityTitle: response,
      isLogarithmic: true,
    },
    {
      title: "Share of submissions completed during a flood",
      points: flood.runs.flatMap(pointsOf),
      quantity: "completedShare",
      quantityTitle: "completed",
      isLogarithmic: false,
    },
  ];
  const file = `${FOLDER}/policies.html`;
  await mkdir(FOLDER, { recursive: true });
  await writeFile(file, await pageOf(drawings));
  return { measure: "report", file, policies, flood };
}

function pointsOf(run: RunSummary): readonly Point[] {
  return run.responses.map((response) => ({
    load: run.load,
    policy: run.policy,
    work: response.name,
    p99: response.p99,
    messages: run.messagesPerTask,
    goodput: run.goodput,
    completedShare: response.submitted === 0
      ? 0
      : response.completed / response.submitted,
  }));
}

async function pageOf(drawings: readonly Drawing[]): Promise<string> {
  const sections = await Promise.all(drawings.map(sectionOf));
  return [
    "<!doctype html>",
    '<html lang="en"><meta charset="utf-8">',
    "<title>eelgrassfront: policies</title>",
    "<body style='font-family: sans-serif'>",
    "<h1>Policies beside baselines and bound</h1>",
    ...sections,
    "</body></html>",
  ].join("\n");
}

async function sectionOf(drawing: Drawing): Promise<string> {
  const { spec } = compile(specificationOf(drawing));
  const view = new View(parse(spec), { renderer: "none" });
  const drawn = await view.toSVG();
  view.finalize();
  return `<h2>${drawing.title}</h2>\n${drawn}`;
}

function specificationOf(drawing: Drawing): TopLevelSpec {
  const { points, quantity, quantityTitle, isLogarithmic } = drawing;
  return {
    data: { values: [...points] },
    width: PANEL_WIDTH_PIXELS,
    height: PANEL_HEIGHT_PIXELS,
    mark: { type: "line", point: true },
    encoding: {
      column: { field: "work", type: "nominal", title: "work" },
      x: { field: "load", type: "ordinal", sort: null, title: "load" },
      y: {
        field: quantity,
        type: "quantitative",
        title: quantityTitle,
        scale: { type: isLogarithmic ? "log" : "linear" },
      },
      color: { field: "policy", type: "nominal", title: "policy" },
    },
  };
}
