/**
 * Places waiting tasks on runners and tracks each placement to its end. When the connection is lost, the
 * placement is sent again to the same runner, which recognises the attempt. A task is placed on another
 * runner only after proof that the first runner never starts it.
 */
import {
  type DrainEstimate,
  RetryBudget,
  RunTimeEstimator,
} from "@eelgrassfront/admission";
import type { FairQueue, QueueDisciplineKind } from "@eelgrassfront/fairness";
import type { FleetMembership } from "@eelgrassfront/membership";
import {
  type Configuration,
  Counter,
  type KindOfWork,
  type Milliseconds,
  NoFreeSlotPolicy,
  type OutputCollector,
  OutputKind,
  type PeerReply,
  PeerReplyKind,
  type PeerRequest,
  PeerRequestKind,
  type ProcessIdentifier,
  type RequestIdentifier,
  RetryReason,
  type TaskEnd,
  TaskEndKind,
  TaskRefusalReason,
} from "@eelgrassfront/model";
import {
  PlacementOutcome,
  type PlacementPolicy,
  RunnerPool,
  SLOT_QUOTA_PLACEMENT,
} from "@eelgrassfront/placement";
import { type Job, JobPhase, type PlacedTask, TaskPhase } from "./job.ts";
import { PlacedTasks } from "./placed_tasks.ts";
import { outcomeOfEnd, outcomeOfRefusal } from "./placement_health.ts";
import {
  placementRequestOf,
  queueMetadataOf,
  type TaskReference,
  WaitingTasks,
} from "./waiting_tasks.ts";

/** Collaborators and callbacks of a `TaskDispatcher`. */
export interface TaskDispatcherOptions {
  readonly self: ProcessIdentifier;
  readonly collector: OutputCollector;
  readonly membership: FleetMembership;
  readonly random: () => number;
  readonly placementPolicy?: PlacementPolicy;
  readonly queueDiscipline?: QueueDisciplineKind;
  /** Whether tasks of this job may be placed now. */
  readonly mayPlace: (job: Job) => boolean;
  readonly onTaskEnded: (job: Job, index: number) => void;
  readonly onTaskRefused: (
    job: Job,
    index: number,
    reason: TaskRefusalReason,
  ) => void;
  /** Called when a task may have started on a runner that has departed or restarted. */
  readonly onTaskLost: (job: Job, runner: ProcessIdentifier) => void;
}

interface Placement extends TaskReference {
  /** Expected run time that was charged when the task was placed. */
  readonly expectedMilliseconds: Milliseconds;
}

enum DelayedActionKind {
  /** Send a request again after its connection was lost. */
  Resend = "resend",
  /** Add a task to its queue again. */
  Enqueue = "enqueue",
}

interface DelayedAction {
  readonly kind: DelayedActionKind;
  readonly at: Milliseconds;
  readonly placement: Placement;
}

/** Delay before a lost request is sent again. */
const RESEND_DELAY_MILLISECONDS: Milliseconds = 100;
/** Delay before a retry that exceeded the retry budget is attempted again. */
const RETRY_DELAY_MILLISECONDS: Milliseconds = 500;
/** Maximum number of tasks that one dispatch of a service skips because no suitable runner can take them. */
const MAXIMUM_SKIPPED = 8;

/** Places waiting tasks on runners and handles the replies of the runners. */
export class TaskDispatcher {
  readonly pool: RunnerPool;
  readonly #options: TaskDispatcherOptions;
  readonly #waiting: WaitingTasks;
  readonly #placements = new Map<RequestIdentifier, Placement>();
  readonly #cancellations = new Map<RequestIdentifier, Placement>();
  readonly #placed = new PlacedTasks();
  readonly #abandoned = new WeakSet<Job>();
  readonly #runTimes = new RunTimeEstimator();
  readonly #retryBudget = new RetryBudget();
  #delayed: DelayedAction[] = [];
  #areQuotasValid = false;

  constructor(options: TaskDispatcherOptions) {
    this.#options = options;
    const { membership, self, random } = options;
    this.#waiting = new WaitingTasks(options.queueDiscipline);
    this.pool = new RunnerPool({
      random,
      policy: options.placementPolicy ?? SLOT_QUOTA_PLACEMENT,
      now: () => options.collector.now,
      isAvailable: (process) =>
        process !== self && membership.heartbeats.isReachable(process) &&
        !membership.heartbeats.isLeaving(process),
    });
  }

  /** Number of tasks that wait at this owner for a runner. */
  get queuedTasks(): number {
    return this.#waiting.size;
  }

  /** Estimates how fast the waiting work of a team and kind of work drains. */
  estimateDrain({ name, service }: KindOfWork, team: string): DrainEstimate {
    const flow = { team, kindOfWork: name };
    const backlog = this.#waiting.ofService(service).backlogOf(flow);
    this.#divideSlots();
    return {
      waitingTasks: backlog.items,
      waitingSubmissions: backlog.submissions,
      slots: this.pool.quotaSlots(service),
      share: backlog.share,
      runMilliseconds: this.#runTimes.estimate(flow),
    };
  }

  /** Applies the shares of a configuration. */
  applyConfiguration(configuration: Configuration): void {
    this.#waiting.applyConfiguration(configuration);
  }

  /** Marks the slot quotas as outdated after a change of owners or runners; the next placement renews them. */
  invalidateQuotas(): void {
    this.#areQuotasValid = false;
  }

  /** Returns the time of the next delayed action, or undefined when there is none. */
  nextAlarm(): Milliseconds | undefined {
    return this.#delayed[0]?.at;
  }

  /** Adds a task to its queue. */
  enqueue(job: Job, index: number): void {
    this.#waiting.add(job, index);
  }

  /** Adds a refused task to its queue again, after a delay when the retry budget is spent. */
  enqueueRetry(job: Job, index: number): void {
    const { collector } = this.#options;
    if (this.#retryBudget.tryWithdraw(collector.now)) {
      this.enqueue(job, index);
      return;
    }
    this.#delayed.push({
      kind: DelayedActionKind.Enqueue,
      at: collector.now + RETRY_DELAY_MILLISECONDS,
      placement: { job, index, expectedMilliseconds: 0 },
    });
  }

  /** Places waiting tasks until no more can be placed now. */
  dispatch(): void {
    for (const [service, queue] of this.#waiting.services()) {
      if (queue.size > 0) this.#dispatchService(service, queue);
    }
  }

  /** Runs the delayed actions that are due and places waiting tasks. */
  tick(): void {
    const { now } = this.#options.collector;
    if ((this.nextAlarm() ?? Infinity) <= now) this.#runDelayed(now);
    this.dispatch();
  }

  /** Tracks a task that an earlier owner placed, by sending its placement again. */
  adopt(job: Job, index: number): void {
    const task = job.taskAt(index);
    if (task.phase !== TaskPhase.Placed) return;
    this.#placed.add(task.runner, { job, index });
    this.#sendPlacement({ job, index, expectedMilliseconds: 0 }, task);
  }

  /** Removes the waiting tasks of a job, and cancels the placed ones that their runners have not started. */
  cancel(job: Job): void {
    this.#waiting.remove(job);
    job.tasks.forEach((task, index) => {
      if (task.phase !== TaskPhase.Placed) return;
      this.#sendCancellation({ job, index, expectedMilliseconds: 0 }, task);
    });
  }

  /** Drops a job that this owner no longer answers for; replies for its tasks still free their slots. */
  abandon(job: Job): void {
    this.#abandoned.add(job);
    this.#waiting.remove(job);
    this.#delayed = this.#delayed.filter(({ placement }) =>
      placement.job !== job
    );
  }

  /** Handles the reply of a runner; returns false when it answers no request of this dispatcher. */
  handleReply(request: RequestIdentifier, reply: PeerReply): boolean {
    const placement = this.#placements.get(request) ??
      this.#cancellations.get(request);
    if (placement === undefined) return false;
    const isCancellation = this.#cancellations.delete(request);
    this.#placements.delete(request);
    this.#applyReply(placement, reply, isCancellation);
    return true;
  }

  /** Sends a lost request again after a delay; returns false when this dispatcher did not send it. */
  handleLostRequest(request: RequestIdentifier): boolean {
    const placement = this.#placements.get(request) ??
      this.#cancellations.get(request);
    if (placement === undefined) return false;
    this.#placements.delete(request);
    this.#cancellations.delete(request);
    if (this.#abandoned.has(placement.job)) {
      this.#releasePlaced(placement);
      return true;
    }
    const at = this.#options.collector.now + RESEND_DELAY_MILLISECONDS;
    this.#delayed.push({ kind: DelayedActionKind.Resend, at, placement });
    return true;
  }

  /** Removes a runner that departed and reports the tasks placed on it as lost. */
  removeRunner(runner: ProcessIdentifier): void {
    const lost = this.#placed.removeRunner(runner);
    this.pool.remove(runner);
    this.invalidateQuotas();
    for (const { job, index } of lost) {
      if (!this.#abandoned.has(job)) this.#reportLoss(job, index, runner);
    }
  }

  #reportLoss(job: Job, index: number, runner: ProcessIdentifier): void {
    const task = job.taskAt(index);
    const isLost = task.phase === TaskPhase.Placed && task.runner === runner;
    if (isLost) this.#options.onTaskLost(job, runner);
  }

  #runDelayed(now: Milliseconds): void {
    const due = this.#delayed.filter(({ at }) => at <= now);
    this.#delayed = this.#delayed.filter(({ at }) => at > now)
      .sort((left, right) => left.at - right.at);
    for (const { kind, placement } of due) {
      switch (kind) {
        case DelayedActionKind.Resend:
          this.#resend(placement);
          break;
        case DelayedActionKind.Enqueue:
          if (this.#isWaiting(placement)) {
            this.enqueueRetry(placement.job, placement.index);
          }
          break;
      }
    }
  }

  #dispatchService(
    service: string,
    queue: FairQueue<TaskReference>,
  ): void {
    this.#divideSlots();
    const skipped: TaskReference[] = [];
    while (
      skipped.length < MAXIMUM_SKIPPED && this.pool.canPlaceTask(service)
    ) {
      const reference = queue.take(this.#options.collector.now);
      if (reference === undefined) break;
      if (!this.#isWaiting(reference)) continue;
      if (!this.#place(reference)) skipped.push(reference);
    }
    for (const reference of skipped.reverse()) {
      queue.requeue(queueMetadataOf(reference.job), reference);
    }
  }

  #divideSlots(): void {
    if (this.#areQuotasValid) return;
    this.#areQuotasValid = true;
    const { membership: { view }, self } = this.#options;
    const shards = new Map<ProcessIdentifier, number>();
    for (const { owner } of view.ownership.all()) {
      if (view.find(owner) === undefined) continue;
      shards.set(owner, (shards.get(owner) ?? 0) + 1);
    }
    const owners = [...shards.keys()].sort();
    this.pool.divideSlots(
      self,
      owners.map((owner) => ({ owner, shards: shards.get(owner) ?? 0 })),
    );
  }

  #isWaiting({ job, index }: TaskReference): boolean {
    return job.phase === JobPhase.Active &&
      job.taskAt(index).phase === TaskPhase.Waiting;
  }

  #place({ job, index }: TaskReference): boolean {
    if (!this.#options.mayPlace(job)) return false;
    const choice = this.pool.choose(placementRequestOf(job));
    if (choice === undefined) return false;
    const { runner, noFreeSlotPolicy } = choice;
    const task: PlacedTask = {
      phase: TaskPhase.Placed,
      runner: runner.process,
      attempt: job.nextAttempt(),
      epoch: job.options.epoch,
      isStarted: false,
    };
    const expectedMilliseconds = this.#runTimes.estimate(queueMetadataOf(job));
    const placement = { job, index, expectedMilliseconds };
    job.setTask(index, task);
    this.pool.recordPlacement(runner.process);
    this.#depositRetries();
    this.#placed.add(runner.process, placement);
    this.#sendPlacement(placement, task, noFreeSlotPolicy);
    this.#waiting.charge(job, expectedMilliseconds);
    return true;
  }

  #depositRetries(): void {
    const { current } = this.#options.membership.view.configuration;
    this.#retryBudget.deposit(current?.configuration.limits.retryBudget ?? 0);
  }

  #sendPlacement(
    placement: Placement,
    task: PlacedTask,
    noFreeSlotPolicy = NoFreeSlotPolicy.Wait,
  ): void {
    const { job, index } = placement;
    const { submission, shard, kindOfWork, deadlineAt } = job.options;
    const description = submission.tasks[index];
    if (description === undefined) return;
    const request = this.#send(task.runner, {
      kind: PeerRequestKind.StartTask,
      shard,
      epoch: task.epoch,
      submission: job.identifier,
      digest: submission.digest,
      taskIndex: index,
      attempt: task.attempt,
      team: submission.team,
      kindOfWork: kindOfWork.name,
      idempotence: submission.idempotence,
      task: description,
      requirements: submission.requirements,
      remainingMilliseconds: deadlineAt - this.#options.collector.now,
      servedMilliseconds: job.servedMilliseconds,
      slotClaim: noFreeSlotPolicy,
    });
    if (request !== undefined) this.#placements.set(request, placement);
  }

  #sendCancellation(placement: Placement, task: PlacedTask): void {
    const { job, index } = placement;
    const request = this.#send(task.runner, {
      kind: PeerRequestKind.CancelTask,
      shard: job.options.shard,
      epoch: task.epoch,
      submission: job.identifier,
      taskIndex: index,
      attempt: task.attempt,
    });
    if (request !== undefined) this.#cancellations.set(request, placement);
  }

  #send(
    runner: ProcessIdentifier,
    message: PeerRequest,
  ): RequestIdentifier | undefined {
    const { collector, membership } = this.#options;
    const member = membership.view.find(runner);
    if (member === undefined) return undefined;
    const request = collector.nextRequest();
    const { address } = member.joined;
    collector.add({
      kind: OutputKind.SendRequest,
      request,
      peer: runner,
      address,
      message,
    });
    return request;
  }

  #resend(placement: Placement): void {
    const { job, index } = placement;
    const task = job.taskAt(index);
    if (task.phase !== TaskPhase.Placed) return;
    const { collector } = this.#options;
    collector.count(Counter.TasksRetried, RetryReason.RunnerConnectionLost);
    if (job.phase === JobPhase.Active) this.#sendPlacement(placement, task);
    else this.#sendCancellation(placement, task);
  }

  #applyReply(
    placement: Placement,
    reply: PeerReply,
    isCancellation: boolean,
  ): void {
    const { job, index } = placement;
    const task = job.taskAt(index);
    if (task.phase !== TaskPhase.Placed) return;
    switch (reply.kind) {
      case PeerReplyKind.TaskEnded:
        this.#release(task.runner, placement, outcomeOfEnd(reply.end));
        this.pool.recordLoad(task.runner, reply.load);
        this.#applyEnd(placement, reply.end);
        return;
      case PeerReplyKind.TaskRefused:
        this.#release(task.runner, placement, outcomeOfRefusal(reply.reason));
        this.pool.recordLoad(task.runner, reply.load);
        this.#applyRefusal(placement, reply.reason);
        return;
      case PeerReplyKind.TaskStarted:
        if (this.#abandoned.has(job)) return;
        job.setTask(index, { ...task, isStarted: true });
        this.#options.onTaskEnded(job, index);
        return;
      case PeerReplyKind.IncarnationMismatch:
        this.#release(task.runner, placement, PlacementOutcome.Neutral);
        if (this.#abandoned.has(job)) return;
        this.#options.onTaskLost(job, task.runner);
        return;
      case PeerReplyKind.JobAnswered:
      case PeerReplyKind.JobStatus:
      case PeerReplyKind.NotOwner:
      case PeerReplyKind.StartRecordsCollected:
      case PeerReplyKind.ShardsAccepted:
      case PeerReplyKind.RecordsAccepted:
      case PeerReplyKind.HandoverRefused:
      case PeerReplyKind.HeartbeatAnswered:
        if (!isCancellation) this.#resend(placement);
        return;
    }
  }

  #applyEnd(placement: Placement, end: TaskEnd): void {
    const { job, index, expectedMilliseconds } = placement;
    if (this.#abandoned.has(job)) return;
    if (end.kind !== TaskEndKind.Lost) {
      this.#waiting.adjust(job, end.runMilliseconds - expectedMilliseconds);
    }
    if (end.kind === TaskEndKind.Succeeded) {
      this.#runTimes.observe(queueMetadataOf(job), end.runMilliseconds);
    }
    job.setTask(index, { phase: TaskPhase.Ended, end });
    this.#options.onTaskEnded(job, index);
  }

  #applyRefusal(placement: Placement, reason: TaskRefusalReason): void {
    const { job, index, expectedMilliseconds } = placement;
    if (this.#abandoned.has(job)) return;
    this.#waiting.charge(job, -expectedMilliseconds);
    if (
      reason === TaskRefusalReason.SlotTaken && job.phase === JobPhase.Active
    ) {
      // The load in the refusal shows no free slot, so the task does not go to that runner again at once.
      job.setTask(index, { phase: TaskPhase.Waiting });
      this.enqueue(job, index);
      return;
    }
    job.setTask(index, { phase: TaskPhase.Withdrawn });
    this.#options.onTaskRefused(job, index, reason);
  }

  #release(
    runner: ProcessIdentifier,
    task: TaskReference,
    outcome: PlacementOutcome,
  ): void {
    this.pool.release(runner, outcome);
    this.#placed.remove(runner, task);
  }

  #releasePlaced(placement: Placement): void {
    const task = placement.job.taskAt(placement.index);
    if (task.phase !== TaskPhase.Placed) return;
    this.#release(task.runner, placement, PlacementOutcome.Neutral);
  }
}
