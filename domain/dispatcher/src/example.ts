/**
 * An entry that has no configuration yet refuses a job with the reason `starting`.
 */
import { DispatcherDecisions } from "@eelgrassfront/dispatcher";
import {
  DispatchInputKind,
  DispatchOutputKind,
  JobRequestKind,
  Role,
} from "@eelgrassfront/model";

const entry = new DispatcherDecisions({
  self: {
    process: "entry-1~a",
    role: Role.Entry,
    address: "127.0.0.1:7720",
    availabilityZone: "zone-a",
  },
  seeds: [],
  graceMilliseconds: 6_000,
  resubmissionMilliseconds: 1_300,
});
const outputs = entry.step(0, {
  kind: DispatchInputKind.JobSubmitted,
  request: 1,
  target: { host: "checks.example", path: "/scan/1" },
  body: {
    kind: JobRequestKind.Runnable,
    job: { content: "retinol", steps: [] },
  },
});
for (const output of outputs) {
  if (output.kind === DispatchOutputKind.AnswerClient) {
    console.log(output.answer);
  }
}
// prints: { kind: 'refused', reason: 'starting' }
