/**
 * Entry point of a worker thread that runs a range of seeds of best-effort work for tests.
 */
import { parentPort, workerData } from "node:worker_threads";
import { runDispatch } from "./dispatch_run.ts";
import type { SeedRange } from "./seed_worker.ts";

function failuresOf({ from, until }: SeedRange): readonly string[] {
  const failures: string[] = [];
  for (let seed = from; seed <= until; seed += 1) {
    for (const { rule, detail } of runDispatch({ seed }).violations) {
      failures.push(`seed ${seed}: ${rule}: ${detail}`);
    }
  }
  return failures;
}

parentPort?.postMessage(failuresOf(workerData as SeedRange));
