/**
 * Places waiting tasks at runners and follows each placement to its end. A placement whose connection
 * was lost is sent again to the same runner, which recognises it; a task goes to another runner only
 * after proof that the first one never starts it.
 */
import { FairQueue } from "@eelgrassfront/fairness";
import type { FleetFollower } from "@eelgrassfront/membership";
import {
  Counter,
  type Milliseconds,
  type OutputCollector,
  OutputKind,
  type PeerReply,
  PeerReplyKind,
  type PeerRequest,
  PeerRequestKind,
  type ProcessIdentifier,
  type RequestIdentifier,
  RetryReason,
  type RunnerLoad,
  type TaskEnd,
  TaskEndKind,
  type TaskRefusalReason,
} from "@eelgrassfront/model";
import { type PlacementNeed, RunnerPool } from "@eelgrassfront/placement";
import { type Job, JobPhase, type PlacedTask, TaskPhase } from "./job.ts";

/** What a dispatcher needs. */
export interface TaskDispatcherOptions {
  readonly self: ProcessIdentifier;
  readonly collector: OutputCollector;
  readonly follower: FleetFollower;
  readonly random: () => number;
  readonly waitingPerRunner: number;
  /** Whether tasks of this job may be placed now. */
  readonly mayPlace: (job: Job) => boolean;
  readonly onTaskEnded: (job: Job, index: number) => void;
  readonly onTaskRefused: (
    job: Job,
    index: number,
    reason: TaskRefusalReason,
  ) => void;
  /** Told when a task may have started at a runner that is gone. */
  readonly onTaskLost: (job: Job, runner: ProcessIdentifier) => void;
}

interface TaskReference {
  readonly job: Job;
  readonly index: number;
}

interface Resend extends TaskReference {
  readonly at: Milliseconds;
}

const RESEND_MILLISECONDS: Milliseconds = 100;

/** Waiting tasks, placements and the runners that they go to. */
export class TaskDispatcher {
  readonly pool: RunnerPool;
  readonly #options: TaskDispatcherOptions;
  readonly #queue = new FairQueue<TaskReference>();
  readonly #placements = new Map<RequestIdentifier, TaskReference>();
  readonly #cancellations = new Map<RequestIdentifier, TaskReference>();
  readonly #atRunner = new Map<ProcessIdentifier, Set<TaskReference>>();
  #resends: Resend[] = [];

  constructor(options: TaskDispatcherOptions) {
    this.#options = options;
    const { follower, self, random, waitingPerRunner } = options;
    this.pool = new RunnerPool({
      random,
      waitingPerRunner,
      isAvailable: (process) =>
        process !== self && follower.heartbeats.isReachable(process) &&
        !follower.heartbeats.isLeaving(process),
    });
  }

  /** Number of tasks that wait at this owner. */
  get queuedTasks(): number {
    return this.#queue.size;
  }

  /** When the dispatcher next has something to do. */
  nextAlarm(): Milliseconds | undefined {
    return this.#resends[0]?.at;
  }

  /** Lets a task wait for a runner. */
  enqueue(job: Job, index: number): void {
    const { submission, kindOfWork } = job.options;
    this.#queue.add({
      submission: job.identifier,
      team: submission.team,
      kindOfWork: kindOfWork.name,
      servedMilliseconds: job.servedMilliseconds,
    }, { job, index });
  }

  /** Places as many tasks as runners take. */
  dispatch(): void {
    const blocked: TaskReference[] = [];
    while (this.#queue.size > 0) {
      const reference = this.#queue.take();
      if (reference === undefined) break;
      if (!this.#isWaiting(reference)) continue;
      if (!this.#place(reference)) {
        blocked.push(reference);
        break;
      }
    }
    for (const { job, index } of blocked) this.enqueue(job, index);
  }

  /** Does what is due. */
  tick(): void {
    const { now } = this.#options.collector;
    const due = this.#resends.filter(({ at }) => at <= now);
    this.#resends = this.#resends.filter(({ at }) => at > now);
    for (const reference of due) this.#resend(reference);
    this.dispatch();
  }

  /** Follows a task that an earlier owner placed. */
  adopt(job: Job, index: number): void {
    const task = job.taskAt(index);
    if (task.phase !== TaskPhase.Placed) return;
    this.#track(task.runner, { job, index });
    this.#sendPlacement({ job, index }, task);
  }

  /** Takes back every placed task of a job. */
  withdraw(job: Job): void {
    job.tasks.forEach((task, index) => {
      if (task.phase === TaskPhase.Placed) this.#cancel({ job, index }, task);
    });
  }

  /** Forgets every placement of a job that this owner no longer answers for. */
  abandon(job: Job): void {
    this.#queue.removeWhere((reference) => reference.job === job);
    for (const [request, reference] of this.#placements) {
      if (reference.job !== job) continue;
      this.#placements.delete(request);
      this.#releaseReference(reference);
    }
    this.#resends = this.#resends.filter((resend) => resend.job !== job);
  }

  /** Takes a runner's reply; false when it answers nothing of this owner. */
  take(request: RequestIdentifier, reply: PeerReply): boolean {
    const reference = this.#placements.get(request) ??
      this.#cancellations.get(request);
    if (reference === undefined) return false;
    const isCancellation = this.#cancellations.delete(request);
    this.#placements.delete(request);
    this.#settle(reference, reply, isCancellation);
    return true;
  }

  /** Sends a lost request again later; false when it was none of this owner. */
  lose(request: RequestIdentifier): boolean {
    const reference = this.#placements.get(request) ??
      this.#cancellations.get(request);
    if (reference === undefined) return false;
    this.#placements.delete(request);
    this.#cancellations.delete(request);
    const at = this.#options.collector.now + RESEND_MILLISECONDS;
    this.#resends.push({ ...reference, at });
    return true;
  }

  /** Gives up the tasks of a runner that departed. */
  loseRunner(runner: ProcessIdentifier): void {
    const references = [...this.#atRunner.get(runner) ?? []];
    this.#atRunner.delete(runner);
    this.pool.remove(runner);
    for (const { job, index } of references) {
      const task = job.taskAt(index);
      const isThere = task.phase === TaskPhase.Placed && task.runner === runner;
      if (isThere) this.#options.onTaskLost(job, runner);
    }
  }

  #isWaiting({ job, index }: TaskReference): boolean {
    return job.phase === JobPhase.Active &&
      job.taskAt(index).phase === TaskPhase.Waiting;
  }

  #place(reference: TaskReference): boolean {
    const { job, index } = reference;
    if (!this.#options.mayPlace(job)) return false;
    const runner = this.pool.choose(needOf(job));
    if (runner === undefined) return false;
    const task: PlacedTask = {
      phase: TaskPhase.Placed,
      runner: runner.process,
      attempt: job.nextAttempt(),
      epoch: job.options.epoch,
      isStarted: false,
    };
    job.put(index, task);
    this.pool.place(runner.process);
    this.#track(runner.process, reference);
    this.#sendPlacement(reference, task);
    return true;
  }

  #sendPlacement(reference: TaskReference, task: PlacedTask): void {
    const { job, index } = reference;
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
    });
    if (request !== undefined) this.#placements.set(request, reference);
  }

  #cancel(reference: TaskReference, task: PlacedTask): void {
    const { job, index } = reference;
    const request = this.#send(task.runner, {
      kind: PeerRequestKind.CancelTask,
      shard: job.options.shard,
      epoch: task.epoch,
      submission: job.identifier,
      taskIndex: index,
      attempt: task.attempt,
    });
    if (request !== undefined) this.#cancellations.set(request, reference);
  }

  #send(
    runner: ProcessIdentifier,
    message: PeerRequest,
  ): RequestIdentifier | undefined {
    const { collector, follower } = this.#options;
    const member = follower.view.find(runner);
    if (member === undefined) return undefined;
    const request = collector.nextRequest();
    const { address } = member.joined;
    collector.count(Counter.MessagesSent);
    collector.add({
      kind: OutputKind.SendRequest,
      request,
      peer: runner,
      address,
      message,
    });
    return request;
  }

  #resend(reference: TaskReference): void {
    const { job, index } = reference;
    const task = job.taskAt(index);
    if (task.phase !== TaskPhase.Placed) return;
    const { collector } = this.#options;
    collector.count(Counter.TasksRetried, RetryReason.RunnerConnectionLost);
    if (job.phase === JobPhase.Active) this.#sendPlacement(reference, task);
    else this.#cancel(reference, task);
  }

  #settle(
    reference: TaskReference,
    reply: PeerReply,
    isCancellation: boolean,
  ): void {
    const task = reference.job.taskAt(reference.index);
    if (task.phase !== TaskPhase.Placed) return;
    switch (reply.kind) {
      case PeerReplyKind.TaskEnded:
        this.#untrack(task.runner, reference, reply.load);
        this.#settleEnd(reference, reply.end);
        return;
      case PeerReplyKind.TaskRefused:
        this.#untrack(task.runner, reference, reply.load);
        this.#settleRefusal(reference, reply.reason);
        return;
      case PeerReplyKind.TaskStarted:
        reference.job.put(reference.index, { ...task, isStarted: true });
        this.#options.onTaskEnded(reference.job, reference.index);
        return;
      case PeerReplyKind.OtherIncarnation:
        this.#untrack(task.runner, reference);
        this.#options.onTaskLost(reference.job, task.runner);
        return;
      case PeerReplyKind.JobAnswered:
      case PeerReplyKind.JobStanding:
      case PeerReplyKind.NotOwner:
      case PeerReplyKind.EvidenceGiven:
      case PeerReplyKind.ShardsTaken:
      case PeerReplyKind.RecordsTaken:
      case PeerReplyKind.HandOverRefused:
      case PeerReplyKind.HeartbeatAnswered:
        if (!isCancellation) this.#resend(reference);
        return;
    }
  }

  #settleEnd({ job, index }: TaskReference, end: TaskEnd): void {
    if (end.kind !== TaskEndKind.Lost) {
      job.servedMilliseconds += end.runMilliseconds;
      this.#queue.charge(job.identifier, end.runMilliseconds);
    }
    job.put(index, { phase: TaskPhase.Ended, end });
    this.#options.onTaskEnded(job, index);
  }

  #settleRefusal(
    { job, index }: TaskReference,
    reason: TaskRefusalReason,
  ): void {
    job.put(index, { phase: TaskPhase.Withdrawn });
    this.#options.onTaskRefused(job, index, reason);
  }

  #track(runner: ProcessIdentifier, reference: TaskReference): void {
    const references = this.#atRunner.get(runner) ?? new Set();
    references.add(reference);
    this.#atRunner.set(runner, references);
  }

  #untrack(
    runner: ProcessIdentifier,
    reference: TaskReference,
    load?: RunnerLoad,
  ): void {
    this.pool.release(runner, load);
    const references = this.#atRunner.get(runner);
    for (const tracked of references ?? []) {
      const isSame = tracked.job === reference.job &&
        tracked.index === reference.index;
      if (isSame) references?.delete(tracked);
    }
  }

  #releaseReference({ job, index }: TaskReference): void {
    const task = job.taskAt(index);
    if (task.phase !== TaskPhase.Placed) return;
    this.#untrack(task.runner, { job, index });
  }
}

function needOf(job: Job): PlacementNeed {
  return {
    service: job.options.kindOfWork.service,
    requirements: job.options.submission.requirements,
  };
}
