/**
 * Fake of a worker in virtual time: leases on the worker's own clock, fencing, run numbers, ended runs that
 * are listed until the sidecar acknowledges them, calls that are executed late, answers that are lost,
 * and crashes, among them those that a task causes.
 */
import {
  assertNever,
  type CallWorker,
  jobTaskKey,
  type ListedRun,
  type Milliseconds,
  type RunEnd,
  RunEndKind,
  type RunReference,
  type WorkerAnswer,
  WorkerAnswerKind,
  type WorkerCall,
  WorkerCallKind,
  type WorkerDescription,
  WorkerPhase,
  WorkerRefusalReason,
} from "@eelgrassfront/model";
import {
  answerAfterCrash,
  breakCall,
  CLEAN_CRASH,
  type CrashedCall,
  type WorkerCrash,
} from "./worker_crash.ts";
import {
  ANSWER_MILLISECONDS,
  connectionRefused,
  refused,
  unanswered,
} from "./worker_answers.ts";
import type { SeededRandom } from "./seeded_random.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** Probabilities of a worker's faults. */
export interface WorkerFaults {
  /** Probability that a call is executed but not answered. */
  readonly lostAnswers: number;
  /** Probability that a call gets no answer and is executed seconds later. */
  readonly delayedCalls: number;
  /** Probability that a run fails. */
  readonly failures: number;
  /** Probability that a run never ends. */
  readonly hangs: number;
  /**
   * Probability that a start, stop or poll gets no answer and is executed seconds later, by the incarnation that
   * then has the worker's identifier, with a lease that counts from the execution.
   */
  readonly delayedGrants: number;
  /** Probability that a stop gets no answer and is executed seconds later. */
  readonly delayedStops: number;
}

/** A worker without faults. */
export const NO_WORKER_FAULTS: WorkerFaults = {
  lostAnswers: 0,
  delayedCalls: 0,
  failures: 0,
  hangs: 0,
  delayedGrants: 0,
  delayedStops: 0,
};

/** Callbacks for the start and the end of each run. */
export interface WorkerObserver {
  readonly onStart: (worker: FakeWorker, run: RunReference) => void;
  readonly onEnd: (worker: FakeWorker, run: RunReference) => void;
  /** Called when a run crashes its worker, before all runs there end. */
  readonly onCrash?: (worker: FakeWorker, run: RunReference) => void;
}

/** Options of a `FakeWorker`. */
export interface FakeWorkerOptions {
  readonly id: string;
  readonly bornAt: Milliseconds;
  readonly service: string;
  readonly capacityMillicores: number;
  /** Run time of a task as a multiple of the nominal one; 1 by default. */
  readonly runFactor?: number;
  readonly labels: readonly string[];
  readonly time: VirtualTime;
  readonly random: SeededRandom;
  /** Generator of the faults `delayedGrants` and `delayedStops`. */
  readonly delayRandom: SeededRandom;
  readonly observer: WorkerObserver;
  /** The incarnation that runs in place of this one, if any. */
  readonly current: () => FakeWorker | undefined;
  /** Speed of the worker's clock relative to virtual time, from 0.98 to 1. */
  readonly clockRate: number;
  /** Run time of a task whose content is this text. */
  readonly runMilliseconds: (content: string) => Milliseconds;
  /** Time after which a task with this content crashes its worker; undefined for one that does not. */
  readonly crashMilliseconds?: (content: string) => Milliseconds | undefined;
}

interface Run {
  readonly reference: RunReference;
  readonly startedAt: Milliseconds;
  readonly endsAt: Milliseconds;
}

const MAXIMUM_LEASE_MILLISECONDS: Milliseconds = 1_000;
const MINIMUM_CALL_DELAY_MILLISECONDS: Milliseconds = 2_000;
const MAXIMUM_CALL_DELAY_MILLISECONDS: Milliseconds = 12_000;

/** One incarnation of a worker. */
export class FakeWorker {
  faults: WorkerFaults = NO_WORKER_FAULTS;
  phase: WorkerPhase = WorkerPhase.Ready;
  /** Factor on the run time of each run that starts; with an infinite factor the run never ends. */
  slowdown = 1;
  /** Whether calls are refused although the worker runs, as by a partition that rejects connections. */
  isRefusingConnections = false;
  /** Delay of a call that is to be executed late, set by a test; undefined for a call in time. */
  delayOf: ((call: WorkerCall) => Milliseconds | undefined) | undefined;
  readonly options: FakeWorkerOptions;
  readonly #running = new Map<string, Run>();
  readonly #newestRunNumbers = new Map<string, number>();
  #ends: RunEnd[] = [];
  #lastEnd = 0;
  #fence = 0;
  #leaseUntil: Milliseconds = 0;
  #sequence = 0;
  /** How and when the worker has crashed; undefined while it runs. */
  #crash: Pick<CrashedCall, "crash" | "crashedAt"> | undefined;
  #waitingPolls: (() => void)[] = [];

  constructor(options: FakeWorkerOptions) {
    this.options = options;
  }

  /** Whether the worker runs; false after a crash. */
  get isAlive(): boolean {
    return this.#crash === undefined;
  }

  /** The worker's own clock. */
  get clock(): Milliseconds {
    const { time, bornAt, clockRate } = this.options;
    return (time.now - bornAt) * clockRate;
  }

  /** Runs in progress. */
  get running(): readonly RunReference[] {
    return [...this.#running.values()].map(({ reference }) => reference);
  }

  /** Start time that the worker reports, which is above 0. */
  get #reportedBornAt(): Milliseconds {
    return this.options.bornAt + 1;
  }

  /** Returns the next description that the worker reports. */
  describe(): WorkerDescription {
    this.#sequence += 1;
    const { id, service, capacityMillicores, labels } = this.options;
    return {
      incarnation: { id, bornAt: this.#reportedBornAt },
      service,
      address: id,
      phase: this.phase,
      capacity: {
        processorMillicores: capacityMillicores,
        memoryMegabytes: 1_000_000,
        accelerators: 0,
      },
      labels,
      sequence: this.#sequence,
      clock: this.clock,
    };
  }

  /** Ends the worker and all its runs. */
  crash(crash: WorkerCrash = CLEAN_CRASH): void {
    this.#crash = { crash, crashedAt: this.options.time.now };
    for (const { reference } of this.#running.values()) {
      this.options.observer.onEnd(this, reference);
    }
    this.#running.clear();
    for (const wake of this.#waitingPolls.splice(0)) wake();
  }

  /** Handles a call of the sidecar; `answer` is called once, with the reply or after the timeout. */
  call(output: CallWorker, answer: (answer: WorkerAnswer) => void): void {
    const { time, random } = this.options;
    const { request, fencingToken, timeoutMilliseconds: timeout } = output;
    if (this.#crash !== undefined) {
      answerAfterCrash({ ...this.#crash, time, output, answer });
      return;
    }
    if (this.isRefusingConnections) {
      time.after(ANSWER_MILLISECONDS, () => answer(connectionRefused(output)));
      return;
    }
    // The adapter sends a start call only on a connection on which the intended incarnation has answered.
    const isMeantForOther = output.worker !== this.options.id ||
      (request.kind === WorkerCallKind.Start &&
        output.bornAt !== this.#reportedBornAt);
    if (isMeantForOther) {
      const mismatch = refused(WorkerRefusalReason.IncarnationMismatch);
      time.after(ANSWER_MILLISECONDS, () => answer(mismatch));
      return;
    }
    const lateBy = this.delayOf?.(request) ?? this.#drawDelay(request);
    if (lateBy !== undefined) {
      this.#executeLater(output, lateBy);
      time.after(timeout, () => answer(unanswered(output)));
      return;
    }
    if (random.happens(this.faults.delayedCalls)) {
      const delay = random.between(
        MINIMUM_CALL_DELAY_MILLISECONDS,
        MAXIMUM_CALL_DELAY_MILLISECONDS,
      );
      time.after(delay, () => this.#execute(request, fencingToken));
      time.after(timeout, () => answer(unanswered(output)));
      return;
    }
    const isLost = random.happens(this.faults.lostAnswers);
    const sentAt = time.now;
    time.after(ANSWER_MILLISECONDS / 2, () => {
      if (this.#crash !== undefined) {
        answerAfterCrash({ ...this.#crash, time, output, answer });
        return;
      }
      const result = this.#execute(request, fencingToken);
      if (isLost) {
        time.after(timeout, () => answer(unanswered(output)));
        return;
      }
      const reply = () =>
        time.after(ANSWER_MILLISECONDS / 2, () => {
          if (this.#crash !== undefined) {
            const left = sentAt + timeout - time.now;
            breakCall({ ...this.#crash, time, output, answer, left });
            return;
          }
          answer(
            result.kind === WorkerAnswerKind.Listed ? this.#list() : result,
          );
        });
      const isLongPoll = request.kind === WorkerCallKind.PollRuns &&
        request.waitMilliseconds > 0 && this.#ends.length === 0 &&
        result.kind === WorkerAnswerKind.Listed;
      if (isLongPoll) this.#waitForEnd(request.waitMilliseconds, reply);
      else reply();
    });
  }

  /**
   * Executes a call after a delay, with a lease that counts from then. The incarnation that has the worker's
   * identifier at that time executes it.
   */
  #executeLater(output: CallWorker, delay: Milliseconds): void {
    const { request, fencingToken, worker } = output;
    const sentAt = this.clock;
    this.options.time.after(delay, () => {
      const current = this.options.current();
      if (current === undefined || current.options.id !== worker) return;
      const elapsed = current.clock - sentAt;
      current.#execute(moveLease(request, elapsed), fencingToken);
    });
  }

  #drawDelay(request: WorkerCall): Milliseconds | undefined {
    const { delayRandom } = this.options;
    if (!this.#isDelayed(request)) return undefined;
    return delayRandom.between(
      MINIMUM_CALL_DELAY_MILLISECONDS,
      MAXIMUM_CALL_DELAY_MILLISECONDS,
    );
  }

  #isDelayed({ kind }: WorkerCall): boolean {
    const { delayRandom } = this.options;
    const { delayedGrants, delayedStops } = this.faults;
    switch (kind) {
      case WorkerCallKind.Stop:
        return (delayedGrants > 0 && delayRandom.happens(delayedGrants)) ||
          (delayedStops > 0 && delayRandom.happens(delayedStops));
      case WorkerCallKind.Start:
      case WorkerCallKind.PollRuns:
        return delayedGrants > 0 && delayRandom.happens(delayedGrants);
      case WorkerCallKind.CheckHealth:
        return false;
      default:
        return assertNever(kind);
    }
  }

  #execute(request: WorkerCall, fencingToken: number): WorkerAnswer {
    if (!this.isAlive) return refused(WorkerRefusalReason.IncarnationMismatch);
    if (request.kind === WorkerCallKind.CheckHealth) return this.#health();
    if (fencingToken < this.#fence) return refused(WorkerRefusalReason.Fenced);
    this.#fence = fencingToken;
    switch (request.kind) {
      case WorkerCallKind.Start:
        return this.#start(request.run, request.content, request.leaseUntil);
      case WorkerCallKind.Stop:
        this.#stop(request.run);
        return { kind: WorkerAnswerKind.Accepted, clock: this.clock };
      case WorkerCallKind.PollRuns:
        if (request.leaseUntil !== undefined) this.#renew(request.leaseUntil);
        this.#ends = this.#ends.filter(({ number }) =>
          number > request.notedEnds
        );
        return this.#list();
      default:
        return assertNever(request);
    }
  }

  #health(): WorkerAnswer {
    return this.phase === WorkerPhase.Ready
      ? { kind: WorkerAnswerKind.Accepted }
      : refused(WorkerRefusalReason.Unhealthy);
  }

  #start(
    reference: RunReference,
    content: string,
    leaseUntil: Milliseconds,
  ): WorkerAnswer {
    const key = jobTaskKey(reference.task);
    if (leaseUntil < this.clock) {
      return refused(WorkerRefusalReason.DeadlinePassed);
    }
    this.#renew(leaseUntil);
    const accepted = { kind: WorkerAnswerKind.Accepted, clock: this.clock };
    if (this.#running.get(key)?.reference.run === reference.run) {
      return accepted as WorkerAnswer;
    }
    if (reference.run <= (this.#newestRunNumbers.get(key) ?? 0)) {
      return refused(WorkerRefusalReason.Superseded);
    }
    this.#newestRunNumbers.set(key, reference.run);
    const { time, random, observer, runMilliseconds, runFactor = 1 } =
      this.options;
    const isHanging = random.happens(this.faults.hangs) ||
      this.slowdown === Infinity;
    const duration = isHanging
      ? Infinity
      : this.slowdown * runFactor * runMilliseconds(content);
    const run = { reference, startedAt: time.now, endsAt: time.now + duration };
    this.#running.set(key, run);
    observer.onStart(this, reference);
    const kind = random.happens(this.faults.failures)
      ? RunEndKind.Failed
      : RunEndKind.Completed;
    if (!isHanging) time.after(duration, () => this.#end(run, kind));
    this.#scheduleCrash(run, content);
    return accepted as WorkerAnswer;
  }

  #scheduleCrash(run: Run, content: string): void {
    const { time, observer, crashMilliseconds } = this.options;
    const crashAfter = crashMilliseconds?.(content);
    if (crashAfter === undefined) return;
    time.after(crashAfter, () => {
      const key = jobTaskKey(run.reference.task);
      if (this.#running.get(key) !== run) return;
      observer.onCrash?.(this, run.reference);
      this.crash();
    });
  }

  #stop(target: RunReference): void {
    const key = jobTaskKey(target.task);
    const newest = this.#newestRunNumbers.get(key) ?? 0;
    this.#newestRunNumbers.set(key, Math.max(newest, target.run));
    const run = this.#running.get(key);
    if (run?.reference.run === target.run) this.#end(run, RunEndKind.Stopped);
  }

  #end(run: Run, kind: RunEndKind): void {
    const key = jobTaskKey(run.reference.task);
    if (!this.isAlive || this.#running.get(key) !== run) return;
    this.#running.delete(key);
    this.#lastEnd += 1;
    this.#ends.push({ number: this.#lastEnd, run: run.reference, kind });
    this.options.observer.onEnd(this, run.reference);
    for (const wake of this.#waitingPolls.splice(0)) wake();
  }

  #renew(leaseUntil: Milliseconds): void {
    const longest = this.clock + MAXIMUM_LEASE_MILLISECONDS;
    this.#leaseUntil = Math.max(
      this.#leaseUntil,
      Math.min(leaseUntil, longest),
    );
    const { time, clockRate } = this.options;
    time.after((this.#leaseUntil - this.clock) / clockRate + 1, () => {
      if (!this.isAlive || this.clock < this.#leaseUntil) return;
      for (const run of [...this.#running.values()]) {
        this.#end(run, RunEndKind.LeaseExpired);
      }
    });
  }

  #list(): WorkerAnswer {
    const { time, bornAt } = this.options;
    const running = [...this.#running.values()].map((run): ListedRun => ({
      run: run.reference,
      percent: Math.floor(
        100 * (time.now - run.startedAt) / (run.endsAt - run.startedAt),
      ),
    }));
    return {
      kind: WorkerAnswerKind.Listed,
      bornAt: bornAt + 1,
      clock: this.clock,
      running,
      ended: this.#ends,
    };
  }

  #waitForEnd(milliseconds: Milliseconds, act: () => void): void {
    let isDone = false;
    const once = () => {
      if (isDone) return;
      isDone = true;
      act();
    };
    this.#waitingPolls.push(once);
    this.options.time.after(milliseconds, once);
  }
}

/** Moves the end of a call's lease, if it has one. */
function moveLease(request: WorkerCall, by: Milliseconds): WorkerCall {
  switch (request.kind) {
    case WorkerCallKind.Start:
      return { ...request, leaseUntil: request.leaseUntil + by };
    case WorkerCallKind.PollRuns:
      return request.leaseUntil === undefined
        ? request
        : { ...request, leaseUntil: request.leaseUntil + by };
    case WorkerCallKind.Stop:
    case WorkerCallKind.CheckHealth:
      return request;
    default:
      return assertNever(request);
  }
}
