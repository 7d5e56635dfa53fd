/**
 * Starts, stops and lists runs at the worker, and updates the attempts from its answers.
 *
 * A start call without an answer may have taken effect, or may still take effect until its deadline. The
 * list of runs resolves it: a listed run is adopted; a run that is not listed is stopped, and the stop also
 * prevents a delayed start. A start call that was not sent has no effect, and its run is settled at once. Resources
 * are freed only when the run has certainly ended: its end is listed, a list requested after its start or stop was
 * accepted lacks it, or its lease or the incarnation has ended.
 */
import {
  assertNever,
  Counter,
  type DispatchOutput,
  ErrorTag,
  EventNumber,
  InterruptionReason,
  type ListedRun,
  type Milliseconds,
  NotStartedReason,
  type OutputCollector,
  type ProcessError,
  type RequestIdentifier,
  type RunEnd,
  RunEndKind,
  type RunReference,
  type RunsListed,
  type TaskSettlement,
  type WorkerAnswer,
  WorkerAnswerKind,
  WorkerCallKind,
  WorkerRefusalReason,
} from "@eelgrassfront/model";
import { RunPhase, withProgress, type WorkerRun } from "./worker_run.ts";
import type { RunTable } from "./run_table.ts";
import { type PendingCall, PendingCalls } from "./pending_call.ts";
import { RunNumbers } from "./run_numbers.ts";
import {
  recordDoubtfulRun,
  recordSettlement,
  recordUnsentRun,
} from "./run_events.ts";
import { interrupted, notStarted, settlementOf } from "./run_settlement.ts";
import { RunStops, STOP_INTERVAL_MILLISECONDS } from "./run_stops.ts";
import type { WorkerLink } from "./worker_link.ts";
import { COMPLETE_PERCENT, SlownessEstimator } from "./slowness_estimator.ts";

/** How long a poll waits for the end of a run; short enough to renew each lease four times. */
const POLL_WAIT_MILLISECONDS: Milliseconds = 200;
/** The same for a worker that recently left calls unanswered, so that a lost list is repeated soon. */
const UNRELIABLE_POLL_WAIT_MILLISECONDS: Milliseconds = 30;
/** Maximum number of start calls of an attempt that is refused for an old token or run number. */
const MAXIMUM_START_CALLS = 4;
/** Time without progress after which a run is stopped: twice what tasks of seconds on a slow worker need. */
const STALL_MILLISECONDS: Milliseconds = 500;
/** Pause after a poll that was refused or not answered. */
const FAILED_POLL_PAUSE_MILLISECONDS: Milliseconds = 20;

/** Collaborators of a `RunController`. */
export interface RunControllerOptions {
  readonly collector: OutputCollector<DispatchOutput>;
  readonly link: WorkerLink;
  readonly table: RunTable;
  /** Whether an entry with runs here has missed a renewal of its session. */
  readonly isRenewalOverdue: () => boolean;
}

/** Controls the runs of one worker. */
export class RunController {
  readonly #options: RunControllerOptions;
  readonly #calls: PendingCalls;
  readonly #startCalls = new Map<string, number>();
  readonly #runNumbers = new RunNumbers();
  readonly #stops: RunStops;
  #slowness = new SlownessEstimator();
  /** Number of the last end that was handled; the next poll acknowledges it. */
  #endCursor = 0;
  #pollCall: RequestIdentifier | undefined;
  /** Whether a list showed that no run of an earlier incarnation of this sidecar is left at the worker. */
  #isReconciled = false;
  #nextReconciliationAt: Milliseconds = 0;
  /** Earliest time of the next poll after one that failed. */
  #nextPollAt: Milliseconds = 0;

  constructor(options: RunControllerOptions) {
    this.#options = options;
    this.#calls = new PendingCalls(options);
    this.#stops = new RunStops({
      ...options,
      calls: this.#calls,
      runNumbers: this.#runNumbers,
    });
  }

  /** Whether every run at the worker is known. */
  get isReconciled(): boolean {
    return this.#isReconciled;
  }

  /** Run time of tasks at the worker, as a multiple of the expected time. */
  get slowness(): number {
    return this.#slowness.slowness;
  }

  /** Forgets all calls and runs because another incarnation of the worker has started. */
  reset(): void {
    this.#calls.clear();
    this.#stops.reset();
    this.#startCalls.clear();
    this.#endCursor = 0;
    this.#pollCall = undefined;
    this.#isReconciled = false;
    this.#nextReconciliationAt = 0;
    this.#nextPollAt = 0;
    this.#slowness = new SlownessEstimator();
  }

  /** Forgets the earlier incarnation of the worker and handles the first list of the present one. */
  useFirstList(list: RunsListed, requestedAt: Milliseconds): void {
    this.reset();
    const { link } = this.#options;
    link.recordAnswer(list.clock);
    this.#onListed({ sentAt: requestedAt }, list);
  }

  /** Starts an attempt that fits into the worker's capacity. */
  start(run: WorkerRun): void {
    this.#sendStart(run, this.#runNumbers.highest(run.task) + 1);
  }

  /** Stops an attempt whose start was sent to the worker. */
  stop(run: WorkerRun, reason: InterruptionReason): void {
    this.#stops.stop(run, reason);
  }

  /** Sends the calls that are due. */
  tick(): void {
    if (this.#options.link.description === undefined) return;
    this.#stops.tick();
    this.#poll();
  }

  /** When the next call or expiry is due. */
  nextAlarm(): Milliseconds | undefined {
    if (this.#options.link.description === undefined) return undefined;
    const stopAt = this.#stops.nextAlarm() ?? Infinity;
    if (this.#pollCall !== undefined) return stopAt;
    const pollAt = this.#isReconciled
      ? this.#nextPollAt
      : Math.max(this.#nextPollAt, this.#nextReconciliationAt);
    return Math.min(stopAt, pollAt);
  }

  /** Handles an answer of the worker. Returns false when this incarnation of the worker has ended. */
  handleAnswer(call: RequestIdentifier, answer: WorkerAnswer): boolean {
    const pending = this.#calls.take(call);
    if (pending === undefined) return true;
    const { link, collector } = this.#options;
    if (call === this.#pollCall) {
      this.#pollCall = undefined;
      const isListed = answer.kind === WorkerAnswerKind.Listed;
      const pause = isListed ? 0 : FAILED_POLL_PAUSE_MILLISECONDS;
      this.#nextPollAt = collector.now + pause;
    }
    switch (answer.kind) {
      case WorkerAnswerKind.Accepted:
        link.recordAnswer(answer.clock);
        link.recordResponse(collector.now - pending.sentAt);
        this.#onAccepted(pending);
        return true;
      case WorkerAnswerKind.Refused:
        link.recordAnswer(answer.clock);
        collector.count(Counter.RunsRefused, answer.reason);
        return this.#onRefused(pending, answer.reason);
      case WorkerAnswerKind.Listed:
        link.recordAnswer(answer.clock);
        return this.#onListed(pending, answer);
      case WorkerAnswerKind.NotSent:
        link.recordUnanswered();
        collector.count(Counter.WorkerCallsMissing, pending.kind);
        this.#onNotSent(pending, answer.error);
        return true;
      case WorkerAnswerKind.Unanswered:
        link.recordUnanswered();
        // A late stop does no harm, and a higher token would void those that are on their way.
        if (!this.#stops.isStopPending) link.raiseFencingToken();
        collector.count(Counter.WorkerCallsMissing, pending.kind);
        this.#onUnanswered(pending, answer.error.tag);
        return true;
      case WorkerAnswerKind.ConnectionRefused:
        collector.recordError(EventNumber.WorkerLost, answer.error);
        this.#onStartUndelivered(pending);
        return false;
      default:
        return assertNever(answer);
    }
  }

  #sendStart(run: WorkerRun, number: number): void {
    const { collector, link } = this.#options;
    const { key } = run;
    this.#startCalls.set(key, (this.#startCalls.get(key) ?? 0) + 1);
    const reference = { task: run.task, run: number };
    this.#runNumbers.record(collector.now, reference);
    const call = this.#calls.send({
      kind: WorkerCallKind.Start,
      run: reference,
      content: run.content,
      leaseUntil: this.#isRenewalWithheld()
        ? link.renewedUntil
        : link.renewLease(),
    }, { run: reference });
    if (call === undefined) return;
    run.state = {
      phase: RunPhase.Starting,
      run: number,
      call,
      sentAt: collector.now,
      isWorkerSilent: link.isSilent,
    };
  }

  /**
   * Keeps one poll open. It also breaks when an idle worker ends, so that nothing is started at the next incarnation
   * by the description of the earlier one.
   */
  #poll(): void {
    const { collector, link, table } = this.#options;
    if (this.#pollCall !== undefined) return;
    if (collector.now < this.#nextPollAt) return;
    const isEarly = !this.#isReconciled &&
      collector.now < this.#nextReconciliationAt;
    if (isEarly) return;
    const isActive = this.#isReconciled && table.hasSentToWorker;
    const isWithheld = this.#isRenewalWithheld();
    this.#pollCall = this.#calls.send({
      kind: WorkerCallKind.PollRuns,
      ...(isActive && !isWithheld ? { leaseUntil: link.renewLease() } : {}),
      notedEnds: this.#endCursor,
      waitMilliseconds: this.#pollWait(isActive),
    });
  }

  /**
   * Whether the lease is not renewed for now, since a run is to be stopped, or is about to be: it would otherwise
   * last as long as the lease of the others is renewed, if the worker does not execute its stop. The lease of a
   * worker that has said goodbye and is silent shows when its runs have ended.
   */
  #isRenewalWithheld(): boolean {
    const { link, isRenewalOverdue } = this.#options;
    return this.#stops.isStopPending || isRenewalOverdue() ||
      link.isSilentAfterGoodbye;
  }

  /** Lists the runs immediately, in parallel to a poll that waits for an end. */
  #pollNow(): void {
    this.#calls.send({
      kind: WorkerCallKind.PollRuns,
      notedEnds: this.#endCursor,
      waitMilliseconds: 0,
    });
  }

  /** How long the next poll may wait for the end of a run. */
  #pollWait(isActive: boolean): Milliseconds {
    const { link } = this.#options;
    if (!this.#isReconciled) return 0;
    if (isActive && link.isUnreliable) {
      return UNRELIABLE_POLL_WAIT_MILLISECONDS;
    }
    // An answer without delay shows that the worker responds again.
    return !isActive && link.isSilent ? 0 : POLL_WAIT_MILLISECONDS;
  }

  #onAccepted({ kind, run: target }: PendingCall): void {
    const run = this.#findRun(target);
    if (run === undefined) return;
    const { now } = this.#options.collector;
    switch (kind) {
      case WorkerCallKind.Start:
        this.#startCalls.delete(run.key);
        this.#markRunning(run);
        return;
      case WorkerCallKind.Stop:
        if (run.state.phase !== RunPhase.Stopping) return;
        run.state = { ...run.state, acceptedAt: run.state.acceptedAt ?? now };
        this.#pollNow();
        return;
      case WorkerCallKind.PollRuns:
      case WorkerCallKind.CheckHealth:
        return;
      default:
        assertNever(kind);
    }
  }

  #onRefused(pending: PendingCall, reason: WorkerRefusalReason): boolean {
    if (reason === WorkerRefusalReason.IncarnationMismatch) return false;
    if (reason === WorkerRefusalReason.Fenced) {
      this.#options.link.raiseFence(pending.fencingToken);
    }
    const run = this.#findStartingRun(pending);
    if (run !== undefined) this.#retryStart(run, reason);
    return true;
  }

  #retryStart(run: WorkerRun, reason: WorkerRefusalReason): void {
    const calls = this.#startCalls.get(run.key) ?? 0;
    const isRepeatable = reason === WorkerRefusalReason.Fenced ||
      reason === WorkerRefusalReason.Superseded;
    if (isRepeatable && calls < MAXIMUM_START_CALLS) {
      const isSuperseded = reason === WorkerRefusalReason.Superseded;
      this.#sendStart(
        run,
        isSuperseded
          ? this.#runNumbers.afterSuperseded(run.task)
          : this.#runNumbers.highest(run.task),
      );
      return;
    }
    this.#settle(run, notStarted(NotStartedReason.WorkerRefused));
  }

  /** Settles the run of a start call whose connection was refused: it has not begun and never will. */
  #onStartUndelivered(pending: PendingCall): void {
    const run = this.#findStartingRun(pending);
    if (run === undefined) return;
    this.#settle(run, notStarted(NotStartedReason.NoWorker));
  }

  /** Settles the run of a start call that was not sent: nothing has begun, so nothing is stopped. */
  #onNotSent(pending: PendingCall, error: ProcessError): void {
    const run = this.#findStartingRun(pending);
    if (run === undefined) return;
    recordUnsentRun(this.#options.collector, run, error);
    this.#settle(run, notStarted(NotStartedReason.WorkerUnresponsive));
    this.#pollNow();
  }

  #onUnanswered(pending: PendingCall, tag: ErrorTag): void {
    const run = this.#findStartingRun(pending);
    if (run?.state.phase !== RunPhase.Starting) return;
    const { collector } = this.#options;
    collector.count(Counter.RunsDoubtful);
    recordDoubtfulRun(collector, run);
    run.state = {
      phase: RunPhase.Indeterminate,
      run: run.state.run,
      since: collector.now,
      hasConnectionBroken: tag === ErrorTag.ConnectionLost &&
        !run.state.isWorkerSilent,
    };
    this.#pollNow();
  }

  #onListed(
    { sentAt }: Pick<PendingCall, "sentAt">,
    answer: RunsListed,
  ): boolean {
    const { link } = this.#options;
    const known = link.description?.incarnation.bornAt ?? answer.bornAt;
    // A list of a later incarnation does not show which calls have reached it; the lifecycle checks that.
    if (answer.bornAt !== known) return true;
    for (const end of answer.ended) this.#onEnd(end);
    const listed = new Map<WorkerRun, ListedRun>();
    for (const item of answer.running) {
      const run = this.#findRun(item.run);
      if (run !== undefined) listed.set(run, item);
    }
    this.#reconcile(listed, sentAt);
    this.#stopUnknownRuns(answer.running);
    return true;
  }

  #onEnd({ number, run: target, kind }: RunEnd): void {
    if (number <= this.#endCursor) return;
    this.#endCursor = number;
    const run = this.#findRun(target);
    if (run === undefined) return;
    const { now } = this.#options.collector;
    if (kind === RunEndKind.Completed) {
      this.#slowness.observe(now, run, COMPLETE_PERCENT);
    }
    this.#settle(run, settlementOf(run, kind, now));
  }

  /** Compares the expected runs with a list that was requested at the given time. */
  #reconcile(
    listed: ReadonlyMap<WorkerRun, ListedRun>,
    requestedAt: Milliseconds,
  ): void {
    for (const run of this.#options.table.sentToWorker()) {
      const item = listed.get(run);
      const { state } = run;
      switch (state.phase) {
        case RunPhase.Waiting:
        case RunPhase.Starting:
          break;
        case RunPhase.Indeterminate:
          if (item !== undefined) this.#markRunning(run);
          else if (requestedAt >= state.since) {
            this.stop(run, InterruptionReason.WorkerLost);
          }
          break;
        case RunPhase.Running:
          if (item !== undefined) this.#recordProgress(run, item.percent);
          else if (requestedAt > state.startedAt) {
            this.#settle(run, interrupted(InterruptionReason.LeaseExpired));
          }
          break;
        case RunPhase.Stopping: {
          const isAfterStop = state.acceptedAt !== undefined &&
            requestedAt >= state.acceptedAt;
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

  #markRunning(run: WorkerRun): void {
    const { state } = run;
    const isNew = state.phase === RunPhase.Starting ||
      state.phase === RunPhase.Indeterminate;
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

  #recordProgress(run: WorkerRun, percent: number): void {
    const { state } = run;
    if (state.phase !== RunPhase.Running) return;
    const { now } = this.#options.collector;
    this.#slowness.observe(now, run, percent);
    const hasProgressed = percent !== state.percent;
    run.state = withProgress(state, percent, now);
    if (hasProgressed) return;
    if (now - state.progressAt < STALL_MILLISECONDS) return;
    this.stop(run, InterruptionReason.NoProgress);
  }

  /** Stops runs without an active attempt. The worker gets no tasks until a list has contained no such run. */
  #stopUnknownRuns(running: readonly ListedRun[]): void {
    if (!this.#stops.stopUnknownRuns(running)) {
      if (!this.#isReconciled) this.#options.table.raiseRevision();
      this.#isReconciled = true;
      return;
    }
    this.#nextReconciliationAt = this.#options.collector.now +
      STOP_INTERVAL_MILLISECONDS;
  }

  #settle(run: WorkerRun, settlement: TaskSettlement): void {
    const { collector, table } = this.#options;
    recordSettlement(collector, run, settlement);
    this.#startCalls.delete(run.key);
    table.settle(run, settlement);
  }

  /** The run of a start call, while nothing else shows whether it has begun. */
  #findStartingRun(
    { kind, run: target }: PendingCall,
  ): WorkerRun | undefined {
    if (kind !== WorkerCallKind.Start) return undefined;
    const run = this.#findRun(target);
    return run?.state.phase === RunPhase.Starting ? run : undefined;
  }

  #findRun(target: RunReference | undefined): WorkerRun | undefined {
    if (target === undefined) return undefined;
    const run = this.#options.table.find(target.task);
    if (run === undefined) return undefined;
    return run.state.phase !== RunPhase.Waiting && run.state.run === target.run
      ? run
      : undefined;
  }
}
