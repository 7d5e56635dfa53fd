/**
 * Writes one page with charts of the policy measures: response and goodput by load, the daemon's policy
 * compared with the baselines and the bound, and the service that other work gets during a flood. The page
 * contains its charts as SVG and loads nothing.
 */
import { mkdir, writeFile } from "node:fs/promises";
import { parse, View } from "vega";
import { compile, type TopLevelSpec } from "vega-lite";
import { measureFlood } from "./flood_measure.ts";
import { type MeasureOptions, measurePolicies } from "./policies_measure.ts";
import type { RunSummary } from "./policy_statistics.ts";

/** One point of a chart: a class of work under a load and a policy. */
interface Point {
  readonly load: string;
  readonly policy: string;
  readonly work: string;
  readonly p99: number;
  readonly messages: number;
  readonly goodput: number;
  readonly completedShare: number;
}

/** One chart on the page. */
interface Chart {
  readonly title: string;
  readonly points: readonly Point[];
  readonly quantity: Extract<keyof Point, "p99" | "goodput" | "completedShare">;
  readonly quantityTitle: string;
  readonly isLogarithmic: boolean;
}

const FOLDER = "report";
const PANEL_WIDTH_PIXELS = 170;
const PANEL_HEIGHT_PIXELS = 220;

/** Runs the policy measures, writes the page and returns its path with the figures. */
export async function measureReport(
  options: MeasureOptions = {},
): Promise<object> {
  const policies = await measurePolicies(options);
  const flood = await measureFlood(options);
  const response = "p99 of response over ideal";
  const charts: readonly Chart[] = [
    {
      title: "Response by load, compared with baselines and bound",
      points: policies.runs.flatMap(createPoints),
      quantity: "p99",
      quantityTitle: response,
      isLogarithmic: true,
    },
    {
      title: "Goodput by load, as a share of all slots",
      points: policies.runs.flatMap(createPoints),
      quantity: "goodput",
      quantityTitle: "goodput",
      isLogarithmic: false,
    },
    {
      title: "Response during a flood",
      points: flood.runs.flatMap(createPoints),
      quantity: "p99",
      quantityTitle: response,
      isLogarithmic: true,
    },
    {
      title: "Share of submissions completed during a flood",
      points: flood.runs.flatMap(createPoints),
      quantity: "completedShare",
      quantityTitle: "completed",
      isLogarithmic: false,
    },
  ];
  const file = `${FOLDER}/policies.html`;
  await mkdir(FOLDER, { recursive: true });
  await writeFile(file, await renderPage(charts));
  return { measure: "report", file, policies, flood };
}

function createPoints(run: RunSummary): readonly Point[] {
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

async function renderPage(charts: readonly Chart[]): Promise<string> {
  const sections = await Promise.all(charts.map(renderSection));
  return [
    "<!doctype html>",
    '<html lang="en"><meta charset="utf-8">',
    "<title>eelgrassfront: policies</title>",
    "<body style='font-family: sans-serif'>",
    "<h1>Policies compared with baselines and bound</h1>",
    ...sections,
    "</body></html>",
  ].join("\n");
}

async function renderSection(chart: Chart): Promise<string> {
  const { spec } = compile(createChartSpec(chart));
  const view = new View(parse(spec), { renderer: "none" });
  const svg = await view.toSVG();
  view.finalize();
  return `<h2>${chart.title}</h2>\n${svg}`;
}

function createChartSpec(chart: Chart): TopLevelSpec {
  const { points, quantity, quantityTitle, isLogarithmic } = chart;
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
