/**
 * Entry point of a worker thread that runs a range of seeds for tests. Each thread has its own event loop.
 */
import { parentPort, workerData } from "node:worker_threads";
import { runRandomized } from "./randomized_run.ts";

/** Range of seeds for one worker thread; both ends are included. */
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
