/**
 * The crashes of workers that an entry knows of, with the jobs that may have caused each. Workers also crash for
 * other reasons, in an outage several within a moment. A crash nearby that the kind of work in question does not
 * explain shows that. A sidecar notices the end of its worker some time later, so the crashes of one outage are
 * reported one after the other.
 */
import type {
  DispatchOutput,
  Milliseconds,
  OutputCollector,
} from "@eelgrassfront/model";

/** Longest time between the reports of two crashes that may have one cause. */
export const OUTAGE_MILLISECONDS: Milliseconds = 250;
/** How long the crashes under a task count: longer than clients submit its job again. */
export const MEMORY_MILLISECONDS: Milliseconds = 30_000;
/** Longest time between the settlements and the report of one crash. */
const SAME_CRASH_MILLISECONDS: Milliseconds = 50;
/** Many times the workers of a service that may crash at once. */
const MAXIMUM_CRASHES = 1_000;

/** A job that may have caused a crash. */
export interface CrashCandidate {
  readonly job: string;
  /** Its kind of work; undefined if that is not known. */
  readonly workKind: string | undefined;
}

interface WorkerCrash {
  readonly at: Milliseconds;
  readonly sidecar: string;
  /** The kinds of work of the jobs that may have caused it. */
  readonly jobs: Map<string, string | undefined>;
  isUnexplained: boolean;
}

/** Collaborators of a `CrashHistory`. */
export interface CrashHistoryOptions {
  readonly collector: Pick<OutputCollector<DispatchOutput>, "now">;
}

/** Remembers the crashes of workers. */
export class CrashHistory {
  readonly #options: CrashHistoryOptions;
  /** The oldest first. */
  #crashes: WorkerCrash[] = [];

  constructor(options: CrashHistoryOptions) {
    this.#options = options;
  }

  /** Whether a crash is remembered that no run explains. */
  get hasUnexplained(): boolean {
    return this.#crashes.some(({ isUnexplained }) => isUnexplained);
  }

  /** Records a crash of a sidecar's worker that no run explains. */
  recordUnexplained(sidecar: string): void {
    this.#crashOf(sidecar).isUnexplained = true;
  }

  /** Records a job that may have caused a crash of a sidecar's worker. */
  recordSuspect(sidecar: string, { job, workKind }: CrashCandidate): void {
    const { jobs } = this.#crashOf(sidecar);
    jobs.set(job, workKind ?? jobs.get(job));
  }

  /** Whether a crash of which a job is a suspect may be one of an outage: a crash near it is not due to such work. */
  isOutage({ workKind }: CrashCandidate, time: Milliseconds): boolean {
    for (const crash of this.#near(time)) {
      if (this.#isUnrelated(crash, workKind)) return true;
    }
    return false;
  }

  /** Returns the other kinds of work that may have caused the crash of which a job is a suspect. */
  otherKinds(
    { job, workKind }: CrashCandidate,
    time: Milliseconds,
  ): readonly string[] {
    for (const { at, jobs } of this.#near(time)) {
      const isSame = Math.abs(at - time) <= SAME_CRASH_MILLISECONDS;
      if (!isSame || !jobs.has(job)) continue;
      const own = workKind ?? jobs.get(job);
      return [...jobs].filter(([other]) => other !== job)
        .flatMap(([, kind]) =>
          kind === undefined || kind === own ? [] : [kind]
        );
    }
    return [];
  }

  /** Whether near a time another job was a suspect, so that reports of an outage may follow. */
  hasOtherSuspects(job: string, time: Milliseconds): boolean {
    for (const { jobs } of this.#near(time)) {
      if (jobs.size > 1 || !jobs.has(job)) return true;
    }
    return false;
  }

  /** Forgets old crashes; those near a crash that counts are kept. */
  purge(): void {
    const from = this.#options.collector.now - MEMORY_MILLISECONDS -
      OUTAGE_MILLISECONDS;
    this.#crashes = this.#crashes.filter(({ at }) => at >= from);
  }

  /** The crashes near a time, the latest first. */
  *#near(time: Milliseconds): Iterable<WorkerCrash> {
    const until = time + OUTAGE_MILLISECONDS;
    let index = this.#crashes.findLastIndex(({ at }) => at <= until);
    for (; index >= 0; index -= 1) {
      const crash = this.#crashes[index];
      if (crash === undefined || crash.at < time - OUTAGE_MILLISECONDS) return;
      yield crash;
    }
  }

  #crashOf(sidecar: string): WorkerCrash {
    const { now } = this.#options.collector;
    const from = now - SAME_CRASH_MILLISECONDS;
    const known = this.#crashes.findLast((crash) =>
      crash.at < from || crash.sidecar === sidecar
    );
    if (known !== undefined && known.at >= from) return known;
    const crash: WorkerCrash = {
      at: now,
      sidecar,
      jobs: new Map(),
      isUnexplained: false,
    };
    this.#crashes.push(crash);
    if (this.#crashes.length > MAXIMUM_CRASHES) this.#crashes.shift();
    return crash;
  }

  /** Whether no suspect of a crash is of a kind of work, once all its suspects are known. */
  #isUnrelated(
    { at, jobs, isUnexplained }: WorkerCrash,
    workKind: string | undefined,
  ): boolean {
    if (isUnexplained) return true;
    const { now } = this.#options.collector;
    if (workKind === undefined || now < at + SAME_CRASH_MILLISECONDS) {
      return false;
    }
    return [...jobs.values()].every((kind) =>
      kind !== undefined && kind !== workKind
    );
  }
}
