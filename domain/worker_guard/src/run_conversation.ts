/**
 * What the guard tells its worker, and what it concludes from the answers.
 *
 * A start whose answer is missing may have been carried out, or may be later, until its deadline has
 * passed. The list of runs decides: a listed run is adopted; one that is not listed is stopped, which
 * also keeps a late start from taking effect. Resources come free only when the end is listed, or when a
 * list that was asked for after the stop no longer shows the run.
 */
import {
  assertNever,
  Counter,
  type DispatchOutput,
  DispatchOutputKind,
  EventNumber,
  Histogram,
  InterruptionReason,
  jobTaskKey,
  type ListedRun,
  type Milliseconds,
  NotStartedReason,
  type OutputCollector,
  type RequestIdentifier,
  type RunEnd,
  RunEndKind,
  type RunReference,
  type RunsListed,
  Severity,
  type TaskSettlement,
  type WorkerAnswer,
  WorkerAnswerKind,
  WorkerCallKind,
  WorkerRefusalReason,
} from "@eelgrassfront/model";
import { type GuardedRun, RunPhase, workerRunOf } from "./guarded_run.ts";
import { reasonOf, type RunTable } from "./run_table.ts";
import { type PendingCall, runKey } from "./pending_call.ts";
import { RunNumbers } from "./run_numbers.ts";
import { interrupted, notStarted, settlementOf } from "./run_settlement.ts";
import type { WorkerLink } from "./worker_link.ts";
import { WHOLE_PERCENT, WorkerSpeed } from "./worker_speed.ts";

/** How long a list of runs may wait for an end: a lease is renewed four times in its time. */
const HOLD_WAIT_MILLISECONDS: Milliseconds = 200;
/** The same for a worker that left calls unanswered a moment ago: an end is told by the next list. */
const DOUBTFUL_HOLD_WAIT_MILLISECONDS: Milliseconds = 30;
/** Time between two orders to stop the same run. */
const STOP_INTERVAL_MILLISECONDS: Milliseconds = 100;
/** Starts under rising run numbers before an attempt is given back. */
const MAXIMUM_START_ORDERS = 4;
/** Time in which the share of work done must grow; a task of seconds on a slow worker needs half of it. */
const STALL_MILLISECONDS: Milliseconds = 500;
/** Pause after a list of runs that was refused or did not come. */
const FAILED_HOLD_MILLISECONDS: Milliseconds = 20;

/** What the conversation needs. */
export interface RunConversationOptions {
  readonly collector: OutputCollector<DispatchOutput>;
  readonly link: WorkerLink;
  readonly table: RunTable;
}

/** Calls to one worker. */
export class RunConversation {
  readonly #options: RunConversationOptions;
  readonly #calls = new Map<RequestIdentifier, PendingCall>();
  readonly #startOrders = new Map<string, number>();
  readonly #runNumbers = new RunNumbers();
  #speed = new WorkerSpeed();
  #notedEnds = 0;
  #acknowledgedEnds = 0;
  #holdCall: RequestIdentifier | undefined;
  /** Whether a list showed that nothing of an earlier run of this process is left at the worker. */
  #isCensusTaken = false;
  #nextCensusAt: Milliseconds = 0;
  /** Not before this time the runs are asked for again, after a call that failed. */
  #nextHoldAt: Milliseconds = 0;

  constructor(options: RunConversationOptions) {
    this.#options = options;
  }

  /** Whether nothing unknown runs at the worker. */
  get isCensusTaken(): boolean {
    return this.#isCensusTaken;
  }

  /** Time that tasks take at the worker, as a multiple of what was expected. */
  get slowness(): number {
    return this.#speed.slowness;
  }

  /** Begins anew with another life of the worker. */
  reset(): void {
    this.#calls.clear();
    this.#startOrders.clear();
    this.#notedEnds = 0;
    this.#acknowledgedEnds = 0;
    this.#holdCall = undefined;
    this.#isCensusTaken = false;
    this.#nextCensusAt = 0;
    this.#nextHoldAt = 0;
    this.#speed = new WorkerSpeed();
  }

  /** Starts an attempt for which there is room. */
  start(run: GuardedRun): void {
    this.#orderStart(run, this.#runNumbers.newest(run.task) + 1);
  }

  /** Stops an attempt that the worker was told of. */
  stop(run: GuardedRun, reason: InterruptionReason): void {
    const { state } = run;
    if (state.phase === RunPhase.Waiting) return;
    if (state.phase === RunPhase.Stopping) return;
    run.state = {
      phase: RunPhase.Stopping,
      run: state.run,
      reason,
      nextStopAt: this.#options.collector.now,
    };
    this.#orderStop(run);
  }

  /** Sends what is due. */
  tick(): void {
    const { collector, table, link } = this.#options;
    if (link.description === undefined) return;
    for (const run of table.atWorker()) {
      const { state } = run;
      const isDue = state.phase === RunPhase.Stopping &&
        collector.now >= state.nextStopAt;
      if (isDue) this.#orderStop(run);
    }
    this.#settleLapsed();
    this.#hold();
  }

  /** When something is due without an input. */
  nextAlarm(): Milliseconds | undefined {
    const { table, link } = this.#options;
    if (link.description === undefined) return undefined;
    const times = table.atWorker().flatMap(({ state }) =>
      state.phase === RunPhase.Stopping ? [state.nextStopAt] : []
    );
    if (this.#holdCall === undefined && this.#isHoldWanted()) {
      times.push(
        this.#isCensusTaken
          ? this.#nextHoldAt
          : Math.max(this.#nextHoldAt, this.#nextCensusAt),
      );
    }
    if (link.isSilent && table.atWorker().length > 0) {
      times.push(link.leaseLapsesAt);
    }
    return times.length === 0 ? undefined : Math.min(...times);
  }

  /** Takes an answer of the worker. Returns false when the worker's life has ended. */
  take(call: RequestIdentifier, answer: WorkerAnswer): boolean {
    const pending = this.#calls.get(call);
    if (pending === undefined) return true;
    this.#calls.delete(call);
    const { link, collector } = this.#options;
    if (call === this.#holdCall) {
      this.#holdCall = undefined;
      const isListed = answer.kind === WorkerAnswerKind.Listed;
      const pause = isListed ? 0 : FAILED_HOLD_MILLISECONDS;
      this.#nextHoldAt = collector.now + pause;
    }
    switch (answer.kind) {
      case WorkerAnswerKind.Accepted:
        link.hear();
        link.hearClock(answer.clock);
        this.#accept(pending);
        return true;
      case WorkerAnswerKind.Refused:
        link.hear();
        link.hearClock(answer.clock);
        collector.count(Counter.RunsRefused, answer.reason);
        return this.#refuse(pending, answer.reason);
      case WorkerAnswerKind.Listed:
        link.hear();
        link.hearClock(answer.clock);
        return this.#list(pending, answer);
      case WorkerAnswerKind.Unanswered:
        link.miss();
        collector.count(Counter.WorkerCallsMissing, pending.kind);
        this.#doubt(pending);
        return true;
      case WorkerAnswerKind.ConnectionRefused:
        collector.recordError(EventNumber.WorkerLost, answer.error);
        return false;
      default:
        return assertNever(answer);
    }
  }

  #orderStart(run: GuardedRun, number: number): void {
    const { collector, link } = this.#options;
    const key = jobTaskKey(run.task);
    this.#startOrders.set(key, (this.#startOrders.get(key) ?? 0) + 1);
    this.#runNumbers.note(collector.now, { task: run.task, run: number });
    const call = link.call({
      kind: WorkerCallKind.Start,
      run: { task: run.task, run: number },
      content: run.content,
      leaseUntil: link.leaseUntil(),
    });
    if (call === undefined) return;
    const pending = { kind: WorkerCallKind.Start, sentAt: collector.now };
    this.#calls.set(call, { ...pending, run: { task: run.task, run: number } });
    link.extendLapse();
    run.state = {
      phase: RunPhase.Starting,
      run: number,
      call,
      sentAt: collector.now,
    };
  }

  #orderStop(run: GuardedRun): void {
    const { collector, link } = this.#options;
    const name = workerRunOf(run);
    if (name === undefined || run.state.phase !== RunPhase.Stopping) return;
    const nextStopAt = collector.now + STOP_INTERVAL_MILLISECONDS;
    run.state = { ...run.state, nextStopAt };
    const call = link.call({ kind: WorkerCallKind.Stop, run: name });
    if (call === undefined) return;
    const sentAt = collector.now;
    this.#calls.set(call, { kind: WorkerCallKind.Stop, run: name, sentAt });
  }

  /** Keeps one list of runs on its way while something runs, and one more to note the last ends. */
  #hold(): void {
    const { collector, link, table } = this.#options;
    if (this.#holdCall !== undefined) return;
    if (collector.now < this.#nextHoldAt) return;
    if (!this.#isHoldWanted()) return;
    const isEarly = !this.#isCensusTaken &&
      collector.now < this.#nextCensusAt;
    if (isEarly) return;
    const noted = this.#notedEnds;
    const isRenewed = this.#isCensusTaken && table.atWorker().length > 0;
    this.#holdCall = link.call({
      kind: WorkerCallKind.PollRuns,
      ...(isRenewed ? { leaseUntil: link.leaseUntil() } : {}),
      notedEnds: noted,
      waitMilliseconds: !isRenewed
        ? 0
        : link.isUnreliable
        ? DOUBTFUL_HOLD_WAIT_MILLISECONDS
        : HOLD_WAIT_MILLISECONDS,
    });
    if (this.#holdCall === undefined) return;
    if (isRenewed) link.extendLapse();
    const sentAt = collector.now;
    const kind = WorkerCallKind.PollRuns;
    this.#calls.set(this.#holdCall, { kind, sentAt, noted });
  }

  /** Asks at once what runs, beside a list that waits for an end. */
  #look(): void {
    const { collector, link } = this.#options;
    const noted = this.#notedEnds;
    const kind = WorkerCallKind.PollRuns;
    const call = link.call({ kind, notedEnds: noted, waitMilliseconds: 0 });
    if (call === undefined) return;
    this.#calls.set(call, { kind, sentAt: collector.now, noted });
  }

  #isHoldWanted(): boolean {
    return !this.#isCensusTaken || this.#options.table.atWorker().length > 0 ||
      this.#notedEnds > this.#acknowledgedEnds;
  }

  #accept({ kind, run: name }: PendingCall): void {
    const run = this.#findRun(name);
    if (run === undefined) return;
    const { now } = this.#options.collector;
    switch (kind) {
      case WorkerCallKind.Start:
        this.#startOrders.delete(jobTaskKey(run.task));
        this.#noteRunning(run);
        return;
      case WorkerCallKind.Stop:
        if (run.state.phase !== RunPhase.Stopping) return;
        run.state = { ...run.state, acceptedAt: run.state.acceptedAt ?? now };
        this.#look();
        return;
      case WorkerCallKind.PollRuns:
      case WorkerCallKind.CheckHealth:
        return;
      default:
        assertNever(kind);
    }
  }

  #refuse({ kind, run: name }: PendingCall, reason: WorkerRefusalReason) {
    if (reason === WorkerRefusalReason.IncarnationMismatch) return false;
    if (reason === WorkerRefusalReason.Fenced) this.#options.link.raiseFence();
    const run = this.#findRun(name);
    const isStart = kind === WorkerCallKind.Start &&
      run?.state.phase === RunPhase.Starting;
    if (isStart) this.#startAgain(run, reason);
    return true;
  }

  #startAgain(run: GuardedRun, reason: WorkerRefusalReason): void {
    const key = jobTaskKey(run.task);
    const orders = this.#startOrders.get(key) ?? 0;
    const isRepeatable = reason === WorkerRefusalReason.Fenced ||
      reason === WorkerRefusalReason.Superseded;
    if (isRepeatable && orders < MAXIMUM_START_ORDERS) {
      const isSuperseded = reason === WorkerRefusalReason.Superseded;
      this.#orderStart(
        run,
        isSuperseded
          ? this.#runNumbers.afterSuperseded(run.task)
          : this.#runNumbers.newest(run.task),
      );
      return;
    }
    this.#settle(run, notStarted(NotStartedReason.WorkerRefused));
  }

  #doubt({ kind, run: name }: PendingCall): void {
    const run = this.#findRun(name);
    if (kind !== WorkerCallKind.Start || run === undefined) return;
    if (run.state.phase !== RunPhase.Starting) return;
    const { collector } = this.#options;
    collector.count(Counter.RunsDoubtful);
    collector.record(
      EventNumber.RunDoubtful,
      "the worker did not answer a start; its list of runs decides",
      {
        severity: Severity.Warning,
        context: { job: run.task.job, task: jobTaskKey(run.task) },
      },
    );
    run.state = {
      phase: RunPhase.Doubtful,
      run: run.state.run,
      since: collector.now,
    };
    this.#look();
  }

  #list({ sentAt, noted }: PendingCall, answer: RunsListed): boolean {
    const { link } = this.#options;
    const known = link.description?.incarnation.bornAt ?? answer.bornAt;
    if (answer.bornAt > known) return false;
    if (answer.bornAt < known) return true;
    this.#acknowledgedEnds = Math.max(this.#acknowledgedEnds, noted ?? 0);
    for (const end of answer.ended) this.#takeEnd(end);
    const listed = new Map(
      answer.running.map((item) => [runKey(item.run), item]),
    );
    this.#matchRuns(listed, sentAt);
    this.#stopStrangers(answer.running);
    return true;
  }

  #takeEnd({ number, run: name, kind }: RunEnd): void {
    if (number <= this.#notedEnds) return;
    this.#notedEnds = number;
    const run = this.#findRun(name);
    if (run === undefined) return;
    const { now } = this.#options.collector;
    if (kind === RunEndKind.Completed) {
      this.#speed.observe(now, run, WHOLE_PERCENT);
    }
    this.#settle(run, settlementOf(run, kind, now));
  }

  /** Compares what should run with a list that was asked for at the given time. */
  #matchRuns(listed: Map<string, ListedRun>, askedAt: Milliseconds): void {
    for (const run of this.#options.table.atWorker()) {
      const name = workerRunOf(run);
      const item = name === undefined ? undefined : listed.get(runKey(name));
      const { state } = run;
      switch (state.phase) {
        case RunPhase.Waiting:
        case RunPhase.Starting:
          break;
        case RunPhase.Doubtful:
          if (item !== undefined) this.#noteRunning(run);
          else if (askedAt >= state.since) {
            this.stop(run, InterruptionReason.WorkerLost);
          }
          break;
        case RunPhase.Running:
          if (item !== undefined) this.#noteProgress(run, item.percent);
          else if (askedAt > state.startedAt) {
            this.#settle(run, interrupted(InterruptionReason.LeaseExpired));
          }
          break;
        case RunPhase.Stopping: {
          const isAfterStop = state.acceptedAt !== undefined &&
            askedAt >= state.acceptedAt;
          if (item === undefined && isAfterStop) {
            this.#settle(run, interrupted(state.reason));
          }
          break;
        }
        default:
          assertNever(state);
      }
    }
  }

  #noteRunning(run: GuardedRun): void {
    const { state } = run;
    const isNew = state.phase === RunPhase.Starting ||
      state.phase === RunPhase.Doubtful;
    if (!isNew) return;
    const { collector } = this.#options;
    collector.count(Counter.TasksStarted);
    run.state = {
      phase: RunPhase.Running,
      run: state.run,
      startedAt: collector.now,
      percent: 0,
      listedAt: collector.now,
      progressAt: collector.now,
    };
  }

  #noteProgress(run: GuardedRun, percent: number): void {
    const { state } = run;
    if (state.phase !== RunPhase.Running) return;
    const { now } = this.#options.collector;
    this.#speed.observe(now, run, percent);
    const isMoving = percent !== state.percent;
    const progressAt = isMoving ? now : state.progressAt;
    run.state = { ...state, percent, listedAt: now, progressAt };
    if (isMoving) return;
    if (now - state.progressAt < STALL_MILLISECONDS) return;
    this.stop(run, InterruptionReason.NoProgress);
  }

  /** Stops what nobody here asked for; until it is gone the worker gets no work. */
  #stopStrangers(running: readonly ListedRun[]): void {
    const { collector, link } = this.#options;
    const strangers = running.filter(({ run: { task, run } }) => {
      const known = this.#options.table.find(task);
      return known === undefined || workerRunOf(known)?.run !== run;
    });
    for (const { run } of strangers) {
      this.#runNumbers.note(collector.now, run);
      const call = link.call({ kind: WorkerCallKind.Stop, run });
      if (call === undefined) return;
      const sentAt = collector.now;
      this.#calls.set(call, { kind: WorkerCallKind.Stop, run, sentAt });
    }
    if (strangers.length === 0) {
      if (!this.#isCensusTaken) this.#options.table.touch();
      this.#isCensusTaken = true;
      return;
    }
    this.#nextCensusAt = collector.now + STOP_INTERVAL_MILLISECONDS;
  }

  /** A silent worker has ended everything once the last lease that it may have taken has lapsed. */
  #settleLapsed(): void {
    const { collector, link, table } = this.#options;
    if (!link.isSilent || collector.now < link.leaseLapsesAt) return;
    for (const run of table.atWorker()) {
      this.#settle(run, interrupted(InterruptionReason.LeaseExpired));
    }
  }

  #settle(run: GuardedRun, settlement: TaskSettlement): void {
    const { collector, table } = this.#options;
    const reason = reasonOf(settlement);
    if ("runMilliseconds" in settlement) {
      collector.add({
        kind: DispatchOutputKind.ObserveDuration,
        histogram: Histogram.RunDuration,
        label: settlement.kind,
        milliseconds: settlement.runMilliseconds,
      });
    } else {
      const context = { job: run.task.job, task: jobTaskKey(run.task), reason };
      collector.record(EventNumber.RunSettled, "an attempt ended", { context });
    }
    this.#startOrders.delete(jobTaskKey(run.task));
    table.settle(run, settlement);
  }

  #findRun(name: RunReference | undefined): GuardedRun | undefined {
    if (name === undefined) return undefined;
    const run = this.#options.table.find(name.task);
    if (run === undefined) return undefined;
    return workerRunOf(run)?.run === name.run ? run : undefined;
  }
}
