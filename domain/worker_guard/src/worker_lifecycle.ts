/**
 * The incarnations of the worker on this VM, from the first report to the end. A new incarnation is used once it
 * has answered, and the runs of an earlier one are settled only when that is known to have ended.
 */
import type { FleetDirectory } from "@eelgrassfront/directory";
import {
  assertNever,
  type DispatchOutput,
  DispatchOutputKind,
  EventNumber,
  InterruptionReason,
  type Milliseconds,
  type OutputCollector,
  Severity,
  type WorkerAnswer,
  type WorkerAnswered,
  WorkerAnswerKind,
  type WorkerDescription,
  WorkerPhase,
} from "@eelgrassfront/model";
import {
  type ConfirmedIncarnation,
  IncarnationChecks,
} from "./incarnation_checks.ts";
import { type LostRuns, WorkerEnd } from "./lost_runs.ts";
import type { RunController } from "./run_controller.ts";
import type { RunTable } from "./run_table.ts";
import { SavedWorkerCheck } from "./saved_worker_check.ts";
import { IncarnationRelation, type WorkerLink } from "./worker_link.ts";

/** Service and address of a VM's worker, which all its incarnations share. */
export type ExpectedWorker = Pick<WorkerDescription, "service" | "address">;

/** Collaborators of a `WorkerLifecycle`. */
export interface WorkerLifecycleOptions {
  readonly collector: OutputCollector<DispatchOutput>;
  readonly link: WorkerLink;
  readonly table: RunTable;
  readonly runController: RunController;
  readonly lostRuns: LostRuns;
  readonly directory: FleetDirectory;
  /** Longest time that a worker which ends as planned needs to stop its runs. */
  readonly stopMilliseconds: Milliseconds;
  /** The worker as the settings name it; reports of others are ignored. */
  readonly expectedWorker?: ExpectedWorker;
}

/** Follows the incarnations of one worker. */
export class WorkerLifecycle {
  readonly #options: WorkerLifecycleOptions;
  readonly #incarnationChecks: IncarnationChecks;
  readonly #savedWorkerCheck: SavedWorkerCheck;
  /** When the runs of a worker that has ended as planned have stopped; undefined while none is ending. */
  #stoppedAt: Milliseconds | undefined;

  constructor(options: WorkerLifecycleOptions) {
    this.#options = options;
    this.#incarnationChecks = new IncarnationChecks(options);
    this.#savedWorkerCheck = new SavedWorkerCheck(options);
  }

  /** Sends the checks that are due. The known worker gets no tasks while a later incarnation is checked. */
  tick(): void {
    const { link, table } = this.#options;
    this.#settleStopped();
    this.#savedWorkerCheck.tick();
    this.#incarnationChecks.tick();
    const wasConfirmed = link.isConfirmed;
    link.isDoubtful = this.#incarnationChecks.isPending;
    if (wasConfirmed !== link.isConfirmed) table.raiseRevision();
  }

  /** When the next check or settlement is due. */
  nextAlarm(): Milliseconds | undefined {
    const { link } = this.#options;
    const next = Math.min(
      this.#incarnationChecks.nextAlarm() ?? Infinity,
      this.#stoppedAt ?? Infinity,
      link.isSilentAfterGoodbye ? link.leaseExpiresAt : Infinity,
    );
    return next === Infinity ? undefined : next;
  }

  /**
   * Uses the description that an earlier incarnation of this sidecar saved, so that work resumes before the
   * worker's next report. The first list of runs shows whether the saved incarnation still runs.
   */
  useSaved(description: WorkerDescription): void {
    const { link, runController, table } = this.#options;
    if (!link.useSaved(description)) return;
    runController.reset();
    table.raiseRevision();
    this.#record(
      EventNumber.WorkerAnnounced,
      "read the saved description of the worker",
    );
  }

  /** Applies a report of the known incarnation, and checks any other that may have replaced it. */
  applyReport(description: WorkerDescription): void {
    const relation = this.#options.link.relationOf(description.incarnation);
    const mismatch = this.#findMismatch(description, relation);
    if (mismatch !== undefined) {
      this.recordInvalidReport(mismatch);
      return;
    }
    switch (relation) {
      case IncarnationRelation.Same:
        this.#applyKnownReport(description);
        return;
      case IncarnationRelation.Earlier:
        return;
      case IncarnationRelation.Other:
        this.#incarnationChecks.begin(description);
        return;
      default:
        assertNever(relation);
    }
  }

  /** Records a report that is ignored. */
  recordInvalidReport(detail: string): void {
    this.#options.collector.record(
      EventNumber.WorkerReportInvalid,
      "ignored an invalid worker report",
      { severity: Severity.Warning, context: { detail } },
    );
  }

  /**
   * Handles the announcement of an incarnation that it ends now. Its runs end with it, which comes later: they are
   * settled when nothing listens at its address any more, or when its lease has expired without an answer.
   */
  handleGoodbye(worker: WorkerDescription["incarnation"]["id"]): void {
    const { link, table } = this.#options;
    if (!link.isCurrent(worker) || link.isLeaving) return;
    link.recordGoodbye();
    table.raiseRevision();
    this.#record(
      EventNumber.WorkerLeaving,
      "the worker says that it ends; its runs are settled once it has ended",
    );
    if (link.description !== undefined) this.#save(link.description);
  }

  /** Handles the answer to any call. */
  handleAnswer({ call, answer }: WorkerAnswered): void {
    const { runController, table } = this.#options;
    const confirmed = this.#incarnationChecks.handleAnswer(call, answer);
    if (confirmed !== undefined) this.#useIncarnation(confirmed);
    if (this.#savedWorkerCheck.handleAnswer(call, answer)) {
      table.raiseRevision();
    }
    if (!runController.handleAnswer(call, answer)) this.#handleEnd();
    this.#checkSuccessor(answer);
  }

  /**
   * Checks a later incarnation that answers under the identifier of the known one, whose calls it may have executed.
   * It gets no tasks before its own report, since its labels and capacity are not known.
   */
  #checkSuccessor(answer: WorkerAnswer): void {
    const known = this.#options.link.description;
    if (answer.kind !== WorkerAnswerKind.Listed || known === undefined) return;
    const { bornAt, clock } = answer;
    if (bornAt <= known.incarnation.bornAt) return;
    this.#incarnationChecks.begin({
      ...known,
      incarnation: { ...known.incarnation, bornAt },
      phase: WorkerPhase.Draining,
      sequence: 0,
      clock,
    });
  }

  /** Returns why a report is not one of the worker on this VM; undefined if it may be. */
  #findMismatch(
    { service, address }: WorkerDescription,
    relation: IncarnationRelation,
  ): string | undefined {
    const { expectedWorker, link } = this.#options;
    const known = relation === IncarnationRelation.Same
      ? link.description
      : undefined;
    const expected = expectedWorker ?? known;
    if (expected === undefined) return undefined;
    if (service !== expected.service) {
      return `the worker's service is ${expected.service}, not ${service}`;
    }
    return address === expected.address
      ? undefined
      : `the worker's address is ${expected.address}, not ${address}`;
  }

  #applyKnownReport(description: WorkerDescription): void {
    const { link, table } = this.#options;
    const earlier = link.description;
    const { isConfirmed: wasConfirmed, profileRevision } = link;
    link.applyReport(description);
    const isDraining = description.phase === WorkerPhase.Draining &&
      earlier?.phase !== WorkerPhase.Draining;
    if (isDraining) {
      this.#record(
        EventNumber.WorkerDraining,
        "the worker is draining; it gets no new tasks",
      );
    }
    const hasChanged = link.profileRevision !== profileRevision ||
      earlier?.phase !== description.phase;
    if (hasChanged || !wasConfirmed) table.raiseRevision();
    if (hasChanged) this.#save(description);
  }

  /** Uses a reported incarnation that has answered; the earlier one has ended, since only one runs on a VM. */
  #useIncarnation(
    { description, list, requestedAt }: ConfirmedIncarnation,
  ): void {
    const { link, lostRuns, runController, table } = this.#options;
    const relation = link.relationOf(description.incarnation);
    if (relation !== IncarnationRelation.Other) return;
    const earlier = link.description;
    this.#stoppedAt = undefined;
    link.useIncarnation(description);
    lostRuns.settle(WorkerEnd.Unannounced, earlier, list.running);
    runController.useFirstList(list, requestedAt);
    // What is left was accepted for the earlier incarnation, which may have had other labels and capacity.
    for (const run of table.sentToWorker()) {
      runController.stop(run, InterruptionReason.WorkerLost);
    }
    table.raiseRevision();
    this.#record(
      EventNumber.WorkerAnnounced,
      "a new worker incarnation reported and answered",
    );
    this.#save(description);
  }

  /** Handles the end of the known incarnation. One that ends as planned may still be stopping its runs. */
  #handleEnd(): void {
    const { collector, link, stopMilliseconds } = this.#options;
    if (link.description?.phase === WorkerPhase.Draining) {
      this.#stoppedAt ??= collector.now + stopMilliseconds;
      return;
    }
    this.#settleEnded(WorkerEnd.Unannounced);
  }

  /** Settles the runs of a worker that has ended as planned, or is silent after its goodbye, once they have ended. */
  #settleStopped(): void {
    const { collector: { now }, link } = this.#options;
    const isStopped = this.#stoppedAt !== undefined && now >= this.#stoppedAt;
    const isExpired = link.isSilentAfterGoodbye &&
      now >= link.leaseExpiresAt;
    if (isStopped || isExpired) this.#settleEnded(WorkerEnd.Announced);
  }

  /** Settles every run of the known incarnation. */
  #settleEnded(end: WorkerEnd): void {
    const { link, lostRuns, runController, table } = this.#options;
    this.#record(EventNumber.WorkerLost, "the worker incarnation has ended");
    const { description } = link;
    this.#stoppedAt = undefined;
    link.forget();
    lostRuns.settle(end, description);
    runController.reset();
    table.raiseRevision();
  }

  #save(description: WorkerDescription): void {
    const kind = DispatchOutputKind.SaveWorker;
    this.#options.collector.add({ kind, description });
  }

  #record(number: EventNumber, message: string): void {
    const { collector, link, table } = this.#options;
    const { description } = link;
    collector.record(number, message, {
      context: {
        worker: description?.incarnation.id ?? "unknown",
        bornAt: description?.incarnation.bornAt ?? 0,
        service: description?.service ?? "unknown",
        sequence: description?.sequence ?? 0,
        runs: table.size,
      },
    });
  }
}
