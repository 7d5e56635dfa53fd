/**
 * A worker crashes while it has nothing to run, and starts again as another kind of worker. A job that needs the earlier
 * kind must not start there.
 */
import { runCase } from "../stand-ins/case.mjs";
import { pause } from "../stand-ins/deployment.mjs";

const LABELS = ["a", "b"];
const JOB = {
  spec: JSON.stringify({ ms: 40 }),
  phases: [{
    count: 1,
    cpu: 3_100,
    memMb: 64,
    estimateMs: 40,
    constraints: "b",
  }],
  bestEffort: true,
};
const JOBS = 12;
const INTERVAL_MILLISECONDS = 50;
const DOWN_MILLISECONDS = 800;

await runCase({
  folder: import.meta.dirname,
  deployment: {
    entries: 2,
    sidecars: 4,
    worker: (index) => ({ labels: [LABELS[index % 2], "r1-1"] }),
  },
  play: async (deployment, isTroubled) => {
    const { recorder, workers } = deployment;
    const labelsOf = new Map(
      workers.map(({ id }, index) => [id, LABELS[index % 2]]),
    );
    const client = deployment.client();
    const burst = async () => {
      const jobs = [];
      for (let index = 0; index < JOBS; index += 1) {
        jobs.push(
          client.submit(JOB, { deadlineMilliseconds: 1_500, client: index }),
        );
        await pause(INTERVAL_MILLISECONDS);
      }
      await Promise.all(jobs);
    };
    await burst();
    await pause(1_000);
    if (isTroubled) {
      recorder.line(`${workers[1].id} crashes`);
      workers[1].crash();
      await pause(DOWN_MILLISECONDS);
      workers[1] = await deployment.startWorker(1, "i-2-second", {
        labels: ["a", "r1-1"],
      });
      labelsOf.set(workers[1].id, "a");
      recorder.line(`${workers[1].id} has reported: kind a`);
    }
    await burst();
    return recorder.runs.filter(({ worker }) => labelsOf.get(worker) !== "b")
      .map(({ task, worker }) =>
        `${task} needs kind b and starts on ${worker}, which is of kind a`
      );
  },
});
