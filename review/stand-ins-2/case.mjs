/**
 * Frame of a case: a recorder, a deployment, a limit of time, and the exit code.
 */
import { join } from "node:path";
import { Deployment } from "./deployment.mjs";
import { Recorder } from "./recorder.mjs";

const LIMIT_MILLISECONDS = 110_000;
const HELD = 0;
const BROKEN = 1;
const COULD_NOT_RUN = 2;

/**
 * Plays a case and ends the process: 1 if `play` returned any breach of the rule, 0 if none, 2 if it threw.
 *
 * @param folder folder of the case, in which `record.txt` is written
 * @param play gets the deployment, the recorder and whether there is trouble; returns the breaches as texts
 */
export async function playCase(folder, play) {
  const recorder = new Recorder(join(folder, "record.txt"));
  const deployment = new Deployment(recorder);
  const isTroubled = process.env.TROUBLE !== "0";
  recorder.line(isTroubled ? "with the disruption" : "without the disruption");
  for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"]) {
    process.once(signal, () => void finish(COULD_NOT_RUN));
  }
  const limit = setTimeout(
    () => void finish(COULD_NOT_RUN, "the case took too long"),
    LIMIT_MILLISECONDS,
  );
  for (const event of ["unhandledRejection", "uncaughtException"]) {
    process.once(event, (error) => void finish(COULD_NOT_RUN, error.stack));
  }
  async function finish(exitCode, reason) {
    clearTimeout(limit);
    if (reason !== undefined) recorder.line(`could not run: ${reason}`);
    await deployment.stop();
    recorder.line(`exit code ${exitCode}`);
    await recorder.close();
    process.exit(exitCode);
  }
  let breaches;
  try {
    breaches = await play({ deployment, recorder, isTroubled });
  } catch (error) {
    await finish(COULD_NOT_RUN, error.stack);
    return;
  }
  for (const breach of breaches) {
    recorder.line(`BROKEN ${breach}`);
    console.log(breach);
  }
  await finish(breaches.length > 0 ? BROKEN : HELD);
}
