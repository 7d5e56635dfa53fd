/**
 * A single-task job is served before the rest of a large job.
 */
import {
  EQUAL_SHARES,
  FairQueue,
  QueueDisciplineKind,
} from "@eelgrassfront/fairness";

const queue = new FairQueue<string>({
  kind: QueueDisciplineKind.WeightedShares,
  shares: () => EQUAL_SHARES,
});
const flow = { team: "assessors", kindOfWork: "check" };
const metadata = { ...flow, servedMilliseconds: 0, arrivedAt: 0 };
for (const task of ["large 1", "large 2", "large 3"]) {
  queue.add({ ...metadata, submission: "assessors/large" }, task);
}
console.log(queue.take(0));
queue.charge({ ...flow, submission: "assessors/large" }, 50);
queue.add({ ...metadata, submission: "assessors/single" }, "single");
console.log(queue.take(1));
// prints: large 1
// prints: single
