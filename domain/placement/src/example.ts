/**
 * Chooses a runner that meets the requirements of a task.
 */
import { RunnerPool, SLOT_QUOTA_PLACEMENT } from "@eelgrassfront/placement";

const pool = new RunnerPool({
  policy: SLOT_QUOTA_PLACEMENT,
  isAvailable: () => true,
  random: () => 0,
  now: () => 0,
});
const [small, large] = [1_024, 131_072].map((memoryMegabytes) => ({
  service: "dossier",
  slots: 8,
  processorCores: 32,
  memoryMegabytes,
  accelerators: 0,
}));
if (small === undefined || large === undefined) throw new Error("unreachable");
pool.add({ process: "small~a", address: "10.0.0.1:1", backendServer: small });
pool.add({ process: "large~b", address: "10.0.0.2:1", backendServer: large });
const choice = pool.choose({
  service: "dossier",
  requirements: { processorCores: 1, memoryMegabytes: 2_048, accelerators: 0 },
  submissionTasks: 1,
  isSubmissionUnserved: true,
});
console.log(choice?.runner.process);
// prints: large~b
