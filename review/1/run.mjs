/**
 * One entry freezes for 4 s and wakes again. Its clients get no answer by their deadline, close their connections, and
 * send their jobs again to other entries. The entry must not start these jobs when it wakes.
 */
import { describeOverlaps, runCase } from "../stand-ins/case.mjs";
import { pause } from "../stand-ins/deployment.mjs";

const JOBS = 100;
const INTERVAL_MILLISECONDS = 80;
const JOB = {
  spec: JSON.stringify({ ms: 1_000 }),
  phases: [{ count: 2, cpu: 3_100, memMb: 64, estimateMs: 1_000 }],
  bestEffort: true,
};
/** Number of the job before which the entry freezes. */
const FREEZE_AT_JOB = 20;
const FREEZE_MILLISECONDS = 4_000;

await runCase({
  folder: import.meta.dirname,
  deployment: { entries: 3, sidecars: 6 },
  play: async (deployment, isTroubled) => {
    const { recorder } = deployment;
    const client = deployment.client();
    const jobs = [];
    for (let index = 0; index < JOBS; index += 1) {
      if (isTroubled && index === FREEZE_AT_JOB) void freeze(deployment);
      jobs.push(
        client.submit(JOB, { deadlineMilliseconds: 1_500, client: index }),
      );
      await pause(INTERVAL_MILLISECONDS);
    }
    await Promise.all(jobs);
    return describeOverlaps(recorder);
  },
});

async function freeze({ recorder, entries: [{ name, child }] }) {
  recorder.line(`${name} freezes`);
  child.kill("SIGSTOP");
  await pause(FREEZE_MILLISECONDS);
  child.kill("SIGCONT");
  recorder.line(`${name} wakes`);
}
