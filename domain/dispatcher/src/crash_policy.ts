/**
 * Applies the decisions on crashes to the jobs of an entry: it records the crashes that settlements and
 * reports show, marks the jobs that run apart, and chooses workers so that suspects and others keep apart.
 */
import {
  assertNever,
  Counter,
  type CrashSuspect,
  type DispatchOutput,
  EventNumber,
  InterruptionReason,
  jobTaskKey,
  type Milliseconds,
  type OutputCollector,
  type ProcessIdentifier,
  SettlementKind,
  SUSPICION_MILLISECONDS,
  type TaskSettlement,
} from "@eelgrassfront/model";
import {
  CrashEvidence,
  type CrashFinding,
  CrashSuspects,
  type CrashVerdict,
  findingOf,
} from "./crash_suspects.ts";
import type { DispatchJob } from "./dispatch_job.ts";
import type { TaskAttempt, TaskAttemptIndex } from "./task_attempt_index.ts";
import { TrialWorkers } from "./trial_workers.ts";
import {
  chooseWorker,
  type WorkerChoice,
  type WorkerChoiceOptions,
} from "./worker_choice.ts";
import type { WorkerLinkState } from "./worker_link_state.ts";
import type { WorkerLinks } from "./worker_links.ts";

/** Interval at which the workers are observed while none has crashed. */
const OBSERVATION_INTERVAL_MILLISECONDS: Milliseconds = 1_000;
/** Time after which a crash is late: a sidecar counts from the acceptance, and notices the crash later. */
const LATE_MILLISECONDS: Milliseconds = 2 * SUSPICION_MILLISECONDS;

/** Collaborators of a `CrashPolicy`. */
export interface CrashPolicyOptions {
  readonly collector: OutputCollector<DispatchOutput>;
  readonly attempts: TaskAttemptIndex;
  readonly links: WorkerLinks;
}

/** Keeps the damage of jobs that crash workers from other jobs. */
export class CrashPolicy {
  readonly #options: CrashPolicyOptions;
  readonly #suspects: CrashSuspects;
  readonly #trialWorkers = new TrialWorkers();
  #isSuspectWaiting = false;
  #nextObservationAt: Milliseconds = 0;

  constructor(options: CrashPolicyOptions) {
    this.#options = options;
    this.#suspects = new CrashSuspects(options);
  }

  /** Rises whenever jobs may have become suspects or no longer be some. */
  get revision(): number {
    return this.#suspects.revision;
  }

  /** Ends what is due, and takes note of the present workers. */
  tick(): void {
    const { now } = this.#options.collector;
    this.#suspects.tick();
    if (now < this.#nextObservationAt) return;
    this.#nextObservationAt = now + OBSERVATION_INTERVAL_MILLISECONDS;
    this.#observe();
  }

  /** Takes note of whether suspects wait: then others leave the trial workers to them. */
  setSuspectWaiting(isWaiting: boolean): void {
    this.#isSuspectWaiting = isWaiting;
  }

  /** Records the crash that a settlement shows, if it shows one. */
  applySettlement(attempt: TaskAttempt, settlement: TaskSettlement): void {
    const { job, task, address, isApart, sentAt } = attempt;
    const { collector } = this.#options;
    const finding = findingOfSettlement(attempt, settlement, collector.now);
    const evidence = finding?.evidence;
    const hasOutlivedCrash = evidence === CrashEvidence.Beside &&
      collector.now >= sentAt + SUSPICION_MILLISECONDS;
    const hasSurvived = isApart &&
      (hasOutlivedCrash || settlement.kind === SettlementKind.Completed);
    if (hasSurvived) this.#suspects.clear(task.name);
    if (finding === undefined) return;
    this.#observe();
    const sidecar = this.#options.links.find(address)?.process ?? address;
    this.#suspects.record(sidecar, job, task.name, finding);
    if (evidence === CrashEvidence.Beside) return;
    collector.count(Counter.TasksSuspected);
    collector.record(
      EventNumber.TaskSuspected,
      "a worker crashed after it had started a task",
      {
        context: {
          job: job.id,
          task: jobTaskKey(task.name),
          route: job.route.name,
          sidecar: address,
          evidence: finding.evidence,
          isAlone: finding.isAlone,
        },
      },
    );
  }

  /** Records a crash that a sidecar reports, with the suspects among other entries' tasks. */
  applyReport(
    sidecar: ProcessIdentifier,
    suspects: readonly CrashSuspect[],
  ): void {
    this.#observe();
    this.#suspects.recordReport(sidecar, suspects);
  }

  /** Marks a job as suspect or not. */
  classify(job: DispatchJob): void {
    job.isSuspect = this.#suspects.isSuspect(job);
    job.trialRank = job.isSuspect ? this.#suspects.trialRank(job) : 0;
  }

  /** Describes the crashes under a job, for the log. */
  describe(job: DispatchJob): string {
    return this.#suspects.describe(job);
  }

  /** Returns what the crashes under the tasks of a job lead to. */
  verdictOn(job: DispatchJob): CrashVerdict {
    return this.#suspects.verdictOn(job);
  }

  /** Chooses a worker for a task. */
  chooseWorker(options: WorkerChoiceOptions): WorkerChoice | undefined {
    const { job } = options;
    if (!job.isSuspect && !this.#suspects.isAlert) return chooseWorker(options);
    const links = this.#unreserved(job, this.workersOf(job, options.links));
    if (job.isSuspect) return chooseWorker({ ...options, links });
    this.#observe();
    const trial = this.#trialWorkers.of(job.route.service);
    const others = links.filter(({ address }) => !trial.has(address));
    const choice = chooseWorker({ ...options, links: others });
    return choice !== undefined || this.#isSuspectWaiting
      ? choice
      : chooseWorker({ ...options, links });
  }

  /** The workers that may run a job now or later: for a suspect, only the trial workers. */
  workersOf(
    { isSuspect, route }: DispatchJob,
    links: readonly WorkerLinkState[],
  ): readonly WorkerLinkState[] {
    if (!isSuspect) return links;
    this.#observe();
    const trial = this.#trialWorkers.of(route.service);
    return links.filter(({ address }) => trial.has(address));
  }

  /** Without the workers where a suspect of this entry that just started runs. */
  #unreserved(
    job: DispatchJob,
    links: readonly WorkerLinkState[],
  ): readonly WorkerLinkState[] {
    const { collector, attempts } = this.#options;
    const recent = collector.now - SUSPICION_MILLISECONDS;
    return links.filter(({ address }) =>
      attempts.atSidecar(address).every((attempt) =>
        attempt.job === job || !attempt.isApart || attempt.sentAt < recent
      )
    );
  }

  #observe(): void {
    this.#trialWorkers.observe(
      this.#options.collector.now,
      this.#options.links.all(),
    );
  }
}

/** What a settlement shows of a crash under its task; undefined if it shows none. */
function findingOfSettlement(
  attempt: TaskAttempt,
  settlement: TaskSettlement,
  now: Milliseconds,
): CrashFinding | undefined {
  if (settlement.kind !== SettlementKind.Interrupted) return undefined;
  const { reason, proof } = settlement;
  switch (reason) {
    case InterruptionReason.WorkerCrashed:
      return findingOf(confirmedEvidence(attempt, now), proof);
    case InterruptionReason.BesideCrash:
      return { evidence: CrashEvidence.Beside, isAlone: false };
    case InterruptionReason.Cancelled:
    case InterruptionReason.LeaseExpired:
    case InterruptionReason.SessionEnded:
    case InterruptionReason.WorkerLost:
    case InterruptionReason.NoProgress:
    case InterruptionReason.SidecarLost:
      return undefined;
    default:
      return assertNever(reason);
  }
}

/** What a crash says of a task whose run the worker had confirmed. */
function confirmedEvidence(
  { isApart, sentAt }: TaskAttempt,
  now: Milliseconds,
): CrashEvidence {
  if (isApart) return CrashEvidence.Apart;
  return now < sentAt + LATE_MILLISECONDS
    ? CrashEvidence.Suspected
    : CrashEvidence.Late;
}
