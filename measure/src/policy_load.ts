/**
 * Generates a seeded load for the policy runs: Poisson arrivals of single tasks and jobs, run times from
 * 50 ms to 1 s with a tail of up to 5 s, and declared times that are wrong by a factor of up to ten.
 */
import { SeededRandom } from "@eelgrassfront/emulator";
import {
  Idempotence,
  type Milliseconds,
  type Submission,
} from "@eelgrassfront/model";

/** Classes of submissions that are measured separately. */
export enum LoadClass {
  SingleTask = "single-task",
  Job = "job",
}

/** One stream of arrivals. */
export interface LoadStream {
  /** Name of the stream in reports. */
  readonly name: string;
  readonly kindOfWork: string;
  readonly teams: readonly string[];
  /** Offered work as a share of all slots. */
  readonly load: number;
  /** Share of the submissions that are jobs of several tasks, from 0 to 1. */
  readonly jobShare: number;
  readonly startsAt: Milliseconds;
  readonly endsAt: Milliseconds;
  /** Number of submissions that arrive at the same moment. */
  readonly burst: number;
  readonly deadlineMilliseconds: Milliseconds;
}

/** A submission with its arrival time and the true run times of its tasks. */
export interface Arrival {
  readonly at: Milliseconds;
  readonly stream: string;
  readonly loadClass: LoadClass;
  readonly submission: Submission;
  readonly runMilliseconds: readonly Milliseconds[];
}

const SHORTEST_RUN_MILLISECONDS: Milliseconds = 50;
const LONGEST_COMMON_RUN_MILLISECONDS: Milliseconds = 1_000;
const COMMON_RUN_SCALE_MILLISECONDS: Milliseconds = 200;
const TAIL_SHARE = 0.02;
const SHORTEST_TAIL_MILLISECONDS: Milliseconds = 1_000;
const LONGEST_TAIL_MILLISECONDS: Milliseconds = 5_000;
const MEAN_RUN_MILLISECONDS: Milliseconds = 300;
const LARGEST_JOB = 220;
const DECLARATION_ERROR = 10;

/** Generates the arrivals of all streams, in order of time. */
export function generateLoad(
  streams: readonly LoadStream[],
  options: { readonly seed: number; readonly slots: number },
): readonly Arrival[] {
  return streams
    .flatMap((stream, index) =>
      generateStream(stream, {
        random: new SeededRandom(options.seed * 1_000 + index),
        slots: options.slots,
      })
    )
    .sort((left, right) => left.at - right.at);
}

interface StreamOptions {
  readonly random: SeededRandom;
  readonly slots: number;
}

function generateStream(
  stream: LoadStream,
  { random, slots }: StreamOptions,
): readonly Arrival[] {
  const meanTasks = 1 - stream.jobShare +
    stream.jobShare * (LARGEST_JOB + 1) / 2;
  const work = meanTasks * MEAN_RUN_MILLISECONDS * stream.burst;
  const interval = work / (stream.load * slots);
  const arrivals: Arrival[] = [];
  let at = stream.startsAt + exponential(random, interval);
  while (at < stream.endsAt) {
    for (let index = 0; index < stream.burst; index += 1) {
      const key = `${stream.name}-${arrivals.length}`;
      arrivals.push(generateArrival(stream, { random, at, key }));
    }
    at += exponential(random, interval);
  }
  return arrivals;
}

function generateArrival(
  stream: LoadStream,
  { random, at, key }: {
    readonly random: SeededRandom;
    readonly at: Milliseconds;
    readonly key: string;
  },
): Arrival {
  const isJob = random.happens(stream.jobShare);
  const tasks = isJob ? Math.floor(random.between(1, LARGEST_JOB + 1)) : 1;
  const runMilliseconds = Array.from(
    { length: tasks },
    () => runTime(random),
  );
  return {
    at,
    stream: stream.name,
    loadClass: isJob ? LoadClass.Job : LoadClass.SingleTask,
    runMilliseconds,
    submission: {
      team: random.pick(stream.teams) ?? "",
      idempotencyKey: key,
      digest: key,
      kindOfWork: stream.kindOfWork,
      idempotence: Idempotence.Idempotent,
      deadlineMilliseconds: stream.deadlineMilliseconds,
      requirements: { processorCores: 0, memoryMegabytes: 0, accelerators: 0 },
      tasks: runMilliseconds.map((milliseconds) => ({
        payload: String(milliseconds),
        declaredMilliseconds: milliseconds * declarationError(random),
      })),
    },
  };
}

function runTime(random: SeededRandom): Milliseconds {
  if (random.happens(TAIL_SHARE)) {
    return random.between(
      SHORTEST_TAIL_MILLISECONDS,
      LONGEST_TAIL_MILLISECONDS,
    );
  }
  const common = SHORTEST_RUN_MILLISECONDS +
    exponential(random, COMMON_RUN_SCALE_MILLISECONDS);
  return Math.min(common, LONGEST_COMMON_RUN_MILLISECONDS);
}

function declarationError(random: SeededRandom): number {
  return DECLARATION_ERROR ** random.between(-1, 1);
}

function exponential(random: SeededRandom, mean: Milliseconds): Milliseconds {
  return -Math.log(1 - random.next()) * mean;
}
