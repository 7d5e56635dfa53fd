/**
 * Runs a range of seeds on a worker thread, for tests: one thread is one loop of its own.
 */
import { parentPort, workerData } from "node:worker_threads";
import { runRandomized } from "./randomized_run.ts";

/** Seeds that a worker runs, the last one included. */
export interface SeedRange {
  readonly from: number;
  readonly until: number;
}

function failuresOf({ from, until }: SeedRange): readonly string[] {
  const failures: string[] = [];
  for (let seed = from; seed <= until; seed += 1) {
    for (const { rule, detail } of runRandomized({ seed }).violations) {
      failures.push(`seed ${seed}: ${rule}: ${detail}`);
    }
  }
  return failures;
}

parentPort?.postMessage(failuresOf(workerData as SeedRange));
