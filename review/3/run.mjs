/**
 * A worker leaves as planned while tasks that began before still run: it drains, says goodbye and ends. Its tasks must
 * not start elsewhere before they have ended with it.
 */
import { describeOverlaps, runCase } from "../stand-ins/case.mjs";
import { pause } from "../stand-ins/deployment.mjs";

const JOB = {
  spec: JSON.stringify({ ms: 5_000 }),
  phases: [{ count: 3, cpu: 3_100, memMb: 64, estimateMs: 5_000 }],
  bestEffort: true,
};
const JOBS = 20;
const INTERVAL_MILLISECONDS = 500;
const LEAVE_AT_JOB = 8;
/** Time for which a draining worker serves on after the acknowledgement (`drainMs`). */
const SERVE_MILLISECONDS = 2_000;
/** Time from the goodbye to the end of what runs; a stop may take 50 ms (`stopTimeoutMs`). */
const END_MILLISECONDS = 40;

await runCase({
  folder: import.meta.dirname,
  deployment: { entries: 2, sidecars: 5 },
  play: async (deployment, isTroubled) => {
    const client = deployment.client();
    const jobs = [];
    for (let index = 0; index < JOBS; index += 1) {
      if (isTroubled && index === LEAVE_AT_JOB) {
        jobs.push(
          deployment.workers[0].leave(SERVE_MILLISECONDS, END_MILLISECONDS),
        );
      }
      jobs.push(
        client.submit(JOB, { deadlineMilliseconds: 14_000, client: index }),
      );
      await pause(INTERVAL_MILLISECONDS);
    }
    await Promise.all(jobs);
    return describeOverlaps(deployment.recorder);
  },
});
