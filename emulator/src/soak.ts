/**
 * Runs many seeds of the randomised run: `npm run soak -- --seeds 1000 --from 1`. Prints each failing
 * seed and, as the last line, the totals as JSON. The exit code is 1 when any seed failed.
 */
import { parseArgs } from "node:util";
import { runRandomized, type RunReport } from "./randomized_run.ts";

const DEFAULT_SEEDS = "1000";
const DEFAULT_FIRST_SEED = "1";

/** Totals of many runs. */
class Totals {
  readonly #failedSeeds: number[] = [];
  readonly #answers = new Map<string, number>();
  #starts = 0;
  #requests = 0;

  get hasFailed(): boolean {
    return this.#failedSeeds.length > 0;
  }

  add(report: RunReport): void {
    this.#starts += report.starts;
    this.#requests += report.requests;
    for (const [kind, count] of report.answers) {
      this.#answers.set(kind, (this.#answers.get(kind) ?? 0) + count);
    }
    if (report.violations.length > 0) this.#failedSeeds.push(report.seed);
  }

  describe(): Record<string, unknown> {
    return {
      failedSeeds: this.#failedSeeds,
      starts: this.#starts,
      requests: this.#requests,
      answers: Object.fromEntries(this.#answers),
    };
  }
}

function main(): void {
  const { values } = parseArgs({
    options: {
      seeds: { type: "string", default: DEFAULT_SEEDS },
      from: { type: "string", default: DEFAULT_FIRST_SEED },
    },
  });
  const seeds = Number(values.seeds);
  const from = Number(values.from);
  const totals = new Totals();
  for (let seed = from; seed < from + seeds; seed += 1) {
    const report = runRandomized({ seed });
    totals.add(report);
    for (const { rule, at, detail } of report.violations) {
      console.log(`seed ${seed} at ${at.toFixed(1)} ms: ${rule}: ${detail}`);
    }
  }
  console.log(JSON.stringify({ seeds, from, ...totals.describe() }));
  if (totals.hasFailed) process.exitCode = 1;
}

main();
