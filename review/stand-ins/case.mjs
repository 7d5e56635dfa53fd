/**
 * Runs one case: starts a deployment, plays the case on it, writes the record, and ends the process with 1 if the rule
 * was broken, 0 if it held, and 2 if the case could not run.
 */
import { join } from "node:path";
import { Deployment } from "./deployment.mjs";

/** Longest time of a case. */
const LIMIT_MILLISECONDS = 110_000;

/**
 * Runs a case. `play` gets the deployment and whether the disruption takes place, and returns the breaches of the
 * rule as lines.
 */
export async function runCase({ folder, deployment: options, play }) {
  const isTroubled = process.env.TROUBLE !== "0";
  const deployment = new Deployment(options);
  const { recorder } = deployment;
  let exitCode = 2;
  const finish = async () => {
    await deployment.stop();
    recorder.write(join(folder, "record.txt"));
    if (process.env.LOGS === "1") console.log(deployment.logs.join("\n"));
    process.exit(exitCode);
  };
  const limit = setTimeout(() => {
    recorder.line("the case took too long");
    void finish();
  }, LIMIT_MILLISECONDS);
  try {
    await deployment.start();
    recorder.line(`disruption: ${isTroubled ? "yes" : "no"}`);
    const breaches = await play(deployment, isTroubled);
    for (const breach of breaches) recorder.line(`BROKEN: ${breach}`);
    recorder.line(`breaches: ${breaches.length}`);
    console.log([...breaches.slice(0, 5), `breaches: ${breaches.length}`]
      .join("\n"));
    exitCode = breaches.length > 0 ? 1 : 0;
  } catch (error) {
    recorder.line(`could not run: ${error.stack}`);
    console.log(error);
  }
  clearTimeout(limit);
  await finish();
}

/** Describes each overlap of two runs of one task. */
export function describeOverlaps(recorder) {
  return recorder.overlaps().map(({ earlier, later, milliseconds }) =>
    `task ${later.task} ran twice at the same time for ` +
    `${milliseconds.toFixed(1)} ms: run ${earlier.attempt} on ` +
    `${earlier.worker} and run ${later.attempt} on ${later.worker}`
  );
}
