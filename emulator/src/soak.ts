/**
 * Runs the randomised run with many seeds: `npm run soak -- --seeds 1000 --from 1`, or with
 * `--work best-effort` for best-effort work, there with `--disruptions delayed-grants,sidecar-outages` for
 * further faults and `--only-disruptions` to leave out the usual ones. `--work worker-outages` plays the users' load
 * beside outages of workers. Prints each violation and, as the last line, the totals as JSON. The exit code is 1 when
 * a seed failed.
 */
import { parseArgs } from "node:util";
import { Disruption } from "./dispatch_disruptions.ts";
import { runDispatch } from "./dispatch_run.ts";
import { runAllOutages } from "./outage_run.ts";
import { runRandomized } from "./randomized_run.ts";

const DEFAULT_SEEDS = "1000";
const DEFAULT_FIRST_SEED = "1";

/** The randomised runs: one for each of the two guarantees of work, and one for outages of workers. */
enum SoakWorkload {
  AtMostOnce = "at-most-once",
  BestEffort = "best-effort",
  WorkerOutages = "worker-outages",
}

/** The part of a run's report that the randomised runs have in common. */
interface SoakReport {
  readonly seed: number;
  readonly starts: number;
  readonly answers: ReadonlyMap<string, number>;
  readonly violations: readonly {
    readonly rule: string;
    readonly at: number;
    readonly detail: string;
  }[];
}

/** Totals over all seeds. */
class Totals {
  readonly #failedSeeds: number[] = [];
  readonly #answers = new Map<string, number>();
  /** Number of violations by rule. */
  readonly #violations = new Map<string, number>();
  #starts = 0;

  get hasFailed(): boolean {
    return this.#failedSeeds.length > 0;
  }

  add(report: SoakReport): void {
    this.#starts += report.starts;
    for (const [kind, count] of report.answers) {
      this.#answers.set(kind, (this.#answers.get(kind) ?? 0) + count);
    }
    for (const { rule } of report.violations) {
      this.#violations.set(rule, (this.#violations.get(rule) ?? 0) + 1);
    }
    if (report.violations.length > 0) this.#failedSeeds.push(report.seed);
  }

  summarize(): Record<string, unknown> {
    return {
      failedSeeds: this.#failedSeeds,
      starts: this.#starts,
      answers: Object.fromEntries(this.#answers),
      violations: Object.fromEntries(this.#violations),
    };
  }
}

interface DisruptionSelection {
  readonly disruptions: readonly Disruption[];
  readonly onlyDisruptions: boolean;
}

/** @throws {RangeError} when a name is not that of a disruption */
function parseDisruptions(names: string): readonly Disruption[] {
  const known = Object.values(Disruption);
  return names.split(",").filter((name) => name !== "").map((name) => {
    const disruption = known.find((kind) => kind === name);
    if (disruption === undefined) {
      throw new RangeError(
        `--disruptions ${name} is none of ${known.join(", ")}`,
      );
    }
    return disruption;
  });
}

function selectRun(
  work: string,
  selection: DisruptionSelection,
): (seed: number) => SoakReport {
  switch (work) {
    case SoakWorkload.AtMostOnce:
      return (seed) => runRandomized({ seed });
    case SoakWorkload.BestEffort:
      return (seed) => runDispatch({ seed, ...selection });
    case SoakWorkload.WorkerOutages:
      return runAllOutages;
    default:
      throw new RangeError(
        `--work ${work} is none of ${Object.values(SoakWorkload).join(", ")}`,
      );
  }
}

function main(): void {
  const { values } = parseArgs({
    options: {
      seeds: { type: "string", default: DEFAULT_SEEDS },
      from: { type: "string", default: DEFAULT_FIRST_SEED },
      work: { type: "string", default: SoakWorkload.AtMostOnce },
      disruptions: { type: "string", default: "" },
      "only-disruptions": { type: "boolean", default: false },
    },
  });
  const seeds = Number(values.seeds);
  const from = Number(values.from);
  const run = selectRun(values.work, {
    disruptions: parseDisruptions(values.disruptions),
    onlyDisruptions: values["only-disruptions"],
  });
  const totals = new Totals();
  for (let seed = from; seed < from + seeds; seed += 1) {
    const report = run(seed);
    totals.add(report);
    for (const { rule, at, detail } of report.violations) {
      console.log(`seed ${seed} at ${at.toFixed(1)} ms: ${rule}: ${detail}`);
    }
  }
  console.log(JSON.stringify({ seeds, from, ...totals.summarize() }));
  if (totals.hasFailed) process.exitCode = 1;
}

main();
