/**
 * `npm run measure -- NAME`: runs one measure and prints its figures as one JSON object on the last line.
 * Exit codes: 0 after a measure, 2 when no measure has that name.
 */
import { assertNever } from "@eelgrassfront/model";
import { measureBestEffortLoad } from "./best_effort_load_measure.ts";
import { measureClaims } from "./claims_measure.ts";
import { measureFailures } from "./failures_measure.ts";
import { measureBrokenWorkers } from "./broken_workers_measure.ts";
import { measureCancellations } from "./cancellations_measure.ts";
import { measureCapacity } from "./capacity_measure.ts";
import { measureFlood } from "./flood_measure.ts";
import { measurePlacementCost } from "./placement_cost_measure.ts";
import { measurePolicies } from "./policies_measure.ts";
import { measureReport } from "./report_measure.ts";
import { measureResponse } from "./response_measure.ts";
import { measureStragglers } from "./stragglers_measure.ts";

/** Measures, by the name on the command line. */
enum Measure {
  Response = "response",
  Claims = "claims",
  Failures = "failures",
  Capacity = "capacity",
  Policies = "policies",
  Report = "report",
  Flood = "flood",
  Stragglers = "stragglers",
  BrokenWorkers = "broken-workers",
  Cancellations = "cancellations",
  PlacementCost = "placement-cost",
  BestEffortLoad = "best-effort-load",
}

const UNKNOWN_MEASURE_EXIT_CODE = 2;

process.exitCode = await run(process.argv[2]);

async function run(name: string | undefined): Promise<number> {
  const known = Object.values(Measure);
  const measure = known.find((candidate) => candidate === name);
  if (measure === undefined) {
    process.stderr.write(
      `${name ?? "no name"}: unknown measure; available: ${known.join(", ")}\n`,
    );
    return UNKNOWN_MEASURE_EXIT_CODE;
  }
  const figures = await runMeasure(measure);
  process.stdout.write(`${JSON.stringify(figures)}\n`);
  return 0;
}

function runMeasure(measure: Measure): Promise<object> {
  switch (measure) {
    case Measure.Response:
      return measureResponse();
    case Measure.Claims:
      return measureClaims();
    case Measure.Failures:
      return measureFailures();
    case Measure.Capacity:
      return measureCapacity();
    case Measure.Policies:
      return measurePolicies();
    case Measure.Report:
      return measureReport();
    case Measure.Flood:
      return measureFlood();
    case Measure.Stragglers:
      return measureStragglers();
    case Measure.BrokenWorkers:
      return measureBrokenWorkers();
    case Measure.Cancellations:
      return measureCancellations();
    case Measure.PlacementCost:
      return measurePlacementCost();
    case Measure.BestEffortLoad:
      return measureBestEffortLoad();
    default:
      return assertNever(measure);
  }
}
