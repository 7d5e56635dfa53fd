/**
 * A runner reports its load after its backend server has described itself.
 */
import { OutputCollector } from "@eelgrassfront/model";
import { RunnerDecisions } from "@eelgrassfront/runner";

const collector = new OutputCollector();
const runner = new RunnerDecisions({
  collector,
  isFresh: () => true,
  horizonMilliseconds: 600_000,
  maximumResultBytes: 1_000_000,
  maximumQueuedTasks: 100,
});
collector.begin(0);
runner.updateBackendServer({
  service: "dossier",
  slots: 8,
  processorCores: 32,
  memoryMegabytes: 131_072,
  accelerators: 0,
});
console.log(runner.load().slots, runner.isIdle);
// prints: 8 true
