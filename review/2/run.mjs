/**
 * A report of another writer, with a service that the deployment does not have, reaches a sidecar while its worker runs
 * tasks. The report names no worker to use, so the tasks must go on where they are, and must not start elsewhere.
 */
import { describeOverlaps, runCase } from "../stand-ins/case.mjs";
import { pause } from "../stand-ins/deployment.mjs";
import { putReport } from "../stand-ins/worker.mjs";

const JOBS = 40;
const INTERVAL_MILLISECONDS = 150;
const JOB = {
  spec: JSON.stringify({ ms: 1_200 }),
  phases: [{ count: 4, cpu: 3_100, memMb: 64, estimateMs: 1_200 }],
  bestEffort: true,
};
/** Time of the report after the first job; then it waits for a task that has just begun on the worker. */
const REPORT_MILLISECONDS = 3_000;
const NEW_RUN_MILLISECONDS = 200;

await runCase({
  folder: import.meta.dirname,
  deployment: { entries: 2, sidecars: 6 },
  play: async (deployment, isTroubled) => {
    const { recorder } = deployment;
    const client = deployment.client();
    const born = Date.now();
    const jobs = [];
    if (isTroubled) {
      jobs.push(
        pause(REPORT_MILLISECONDS).then(() =>
          sendForeignReport(deployment, born)
        ),
      );
    }
    for (let index = 0; index < JOBS; index += 1) {
      jobs.push(client.submit(JOB, {
        deadlineMilliseconds: 1_500,
        client: index,
      }));
      await pause(INTERVAL_MILLISECONDS);
    }
    await Promise.all(jobs);
    return describeOverlaps(recorder);
  },
});

async function sendForeignReport(deployment, born) {
  const { recorder, workers } = deployment;
  const isNew = ({ worker, startedAt, endedAt }) =>
    worker === workers[0].id && endedAt === undefined &&
    recorder.now - startedAt < NEW_RUN_MILLISECONDS;
  while (!recorder.runs.some(isNew)) await pause(5);
  const running = workers[0].runningTasks.length;
  recorder.line(`${running} tasks run on ${workers[0].id}`);
  recorder.line("another writer reports to sidecar-1: service zufo03c");
  const status = await putReport(deployment.reportTarget(0), "i-zufo-1", {
    service: "zufo03c",
    // Nobody listens there.
    address: `${deployment.address(200)}:8165`,
    zone: "zone-a",
    version: "v1",
    slots: 8,
    state: "ready",
    coldLeftMs: 0,
    capacity: { cpu: 32_000, memMb: 131_072, gpu: 0 },
    labels: ["a", "r1-1"],
    clockMs: Date.now() - born,
    sequence: 4,
    born,
  });
  recorder.line(`sidecar-1 answers the report with ${status}`);
}
