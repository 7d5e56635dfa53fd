/**
 * The jobs of an entry from handing in to the answer: admission, the queue, retries and deadlines.
 */
import {
  BestEffortJobState,
  ClientAnswerKind,
  type DispatchOutput,
  Gauge,
  GivenUpReason,
  JobRefusalReason,
  type Milliseconds,
  type OutputCollector,
  OutputKind,
  type RequestIdentifier,
} from "@eelgrassfront/model";
import { ArrivingWork } from "./arriving_work.ts";
import type { AttemptBook } from "./attempt_book.ts";
import { type DispatchJob, TaskPhase } from "./dispatch_job.ts";
import {
  type Backlog,
  canStartInTime,
  expectedWait,
  retryAfter,
} from "./job_admission.ts";
import type { JobAnswers } from "./job_answers.ts";
import { JobQueue } from "./job_queue.ts";
import type { TaskPlacer } from "./task_placer.ts";
import { isCapableWorkerKnown } from "./worker_choice.ts";
import { LinkPhase } from "./worker_link_state.ts";
import type { WorkerLinks } from "./worker_links.ts";

/** What the backlog is computed from. */
export interface BacklogSource {
  readonly links: WorkerLinks;
  readonly attempts: AttemptBook;
  /** Number of entries that share the workers, this one among them. */
  readonly entryCount: () => number;
}

/** What the desk needs. */
export interface JobDeskOptions {
  readonly collector: OutputCollector<DispatchOutput>;
  readonly placer: TaskPlacer;
  readonly answers: JobAnswers;
  readonly source: BacklogSource;
}

/** Time between two looks for room while jobs wait and nothing else happens. */
const RETRY_MILLISECONDS: Milliseconds = 20;
/**
 * How long a job is kept while no worker is known, as after a restart of the fleet: sessions open sooner,
 * and a job that is refused meanwhile is lost to its client for longer.
 */
const UNKNOWN_FLEET_MILLISECONDS: Milliseconds = 1_500;
/** Share of the capacity that work of any priority can count on, so that a flood of urgent work leaves it a third. */
const LEAST_SHARE = 1 / 3;
/** Retry-After where nothing is known of the load: the time of a restart. */
const UNKNOWN_RETRY_MILLISECONDS: Milliseconds = 1_000;

/** The jobs of an entry. */
export class JobDesk {
  readonly #options: JobDeskOptions;
  readonly #jobs = new Map<string, DispatchJob>();
  readonly #byRequest = new Map<RequestIdentifier, DispatchJob>();
  readonly #queue = new JobQueue();
  readonly #arriving = new ArrivingWork();
  readonly #toldGauges = new Map<Gauge, number>();

  constructor(options: JobDeskOptions) {
    this.#options = options;
  }

  /** Number of jobs that are not answered. */
  get size(): number {
    return this.#jobs.size;
  }

  /** Whether jobs wait for room. */
  get isHungry(): boolean {
    return this.#queue.size > 0;
  }

  /** Finds a job that is not answered. */
  find(id: string): DispatchJob | undefined {
    return this.#jobs.get(id);
  }

  /** Whether some worker takes work. */
  hasWorkers(): boolean {
    return this.#options.source.links.all().some(({ state }) =>
      state.phase === LinkPhase.Open && state.load?.isTakingWork === true
    );
  }

  /** Jobs of a route of which nothing has begun. */
  countPending(route: string): number {
    return this.#queue.jobs.filter((job) =>
      job.route.name === route && job.isRefusable
    ).length;
  }

  /** Takes a job in, or refuses it. */
  admit(job: DispatchJob, isClosed: boolean): void {
    const { answers, placer } = this.#options;
    const known = this.#jobs.get(job.id);
    const [request] = job.requests;
    if (known !== undefined && request !== undefined) {
      known.requests.push(request);
      this.#byRequest.set(request, known);
      return;
    }
    if (isClosed) {
      answers.refuse(job, JobRefusalReason.Leaving, { context: {} });
      return;
    }
    if (this.#refuseHopeless(job)) return;
    const { now } = this.#options.collector;
    this.#arriving.add(now, job.route.priority, job.waitingWork);
    this.#jobs.set(job.id, job);
    if (request !== undefined) this.#byRequest.set(request, job);
    this.#queue.add(job);
    if (this.#queue.jobs[0] === job && placer.place(job)) {
      this.#queue.remove(job);
      return;
    }
    this.#refuseIfLate(job);
  }

  /** Goes on with a job after something of it was settled. */
  continue(job: DispatchJob): void {
    if (this.#jobs.get(job.id) !== job) return;
    if (job.isCompleted) {
      this.#remove(job);
      this.#options.answers.end(job, BestEffortJobState.Completed);
      return;
    }
    const isFailed = job.tasks.some(({ failures }) =>
      failures >= job.route.maximumAttempts
    );
    if (isFailed) {
      this.#options.placer.takeBack(job);
      this.#remove(job);
      this.#options.answers.end(job, BestEffortJobState.Failed);
      return;
    }
    job.unblock();
    const isWaiting = job.tasks.some(({ phase }) => phase === TaskPhase.Ready);
    if (isWaiting) this.#queue.add(job);
  }

  /** The tasks that a lost sidecar had have ended there. */
  endHold(address: string): void {
    for (const job of this.#jobs.values()) {
      for (const task of job.tasks) {
        const isHeld = task.phase === TaskPhase.Ready &&
          task.placedAt === address;
        if (isHeld) task.heldUntil = 0;
      }
    }
  }

  /** The client of a request has gone. */
  abandon(request: RequestIdentifier): void {
    const job = this.#byRequest.get(request);
    if (job === undefined) return;
    this.#byRequest.delete(request);
    job.requests.splice(job.requests.indexOf(request), 1);
    if (job.requests.length > 0) return;
    this.#options.placer.takeBack(job);
    this.#remove(job);
    this.#options.answers.abandon(job);
  }

  /** Cancels a job. Returns whether it was known. */
  cancel(id: string): boolean {
    const job = this.#jobs.get(id);
    if (job === undefined) return false;
    this.#options.placer.takeBack(job);
    this.#remove(job);
    for (const request of job.requests) {
      this.#options.answers.answer(request, {
        kind: ClientAnswerKind.Cancelled,
      });
    }
    return true;
  }

  /** Gives every job up, before the process ends. */
  giveUpAll(reason: GivenUpReason): void {
    for (const job of [...this.#jobs.values()]) {
      if (job.isRefusable) this.#refuse(job, JobRefusalReason.Leaving);
      else this.#giveUp(job, reason);
    }
  }

  /** Places what has room, refuses what cannot start in time any more, and keeps deadlines. */
  tick(): void {
    this.#keepDeadlines();
    this.#placeWaiting();
    this.#refuseLate();
    this.#tellGauges();
  }

  /** When something is due. */
  nextAlarm(): Milliseconds | undefined {
    const times = [...this.#jobs.values()].map(({ deadlineAt }) => deadlineAt);
    if (this.#queue.size > 0) {
      times.push(this.#options.collector.now + RETRY_MILLISECONDS);
    }
    return times.length === 0 ? undefined : Math.min(...times);
  }

  #placeWaiting(): void {
    for (const job of [...this.#queue.jobs]) {
      if (!this.#options.placer.place(job)) return;
      const isHeld = job.tasks.some(({ phase }) => phase === TaskPhase.Ready);
      if (!isHeld) this.#queue.remove(job);
    }
  }

  #keepDeadlines(): void {
    const { now } = this.#options.collector;
    for (const job of [...this.#jobs.values()]) {
      if (now < job.deadlineAt) continue;
      if (job.isRefusable) this.#refuse(job, JobRefusalReason.WaitedTooLong);
      else this.#giveUp(job, GivenUpReason.DeadlinePassed);
    }
  }

  #refuseLate(): void {
    const { now } = this.#options.collector;
    const patience = this.hasWorkers() ? 0 : UNKNOWN_FLEET_MILLISECONDS;
    for (const job of [...this.#queue.jobs]) {
      const isLate = job.isRefusable && now > job.startBy &&
        now > job.arrivedAt + patience;
      if (isLate) this.#refuse(job, JobRefusalReason.WaitedTooLong);
    }
  }

  /** Refuses a job that no known worker could ever run, once workers are known. */
  #refuseHopeless(job: DispatchJob): boolean {
    const { source, answers } = this.#options;
    if (!this.hasWorkers()) return false;
    const links = source.links.all();
    const isHopeless = job.tasks.some((task) =>
      !isCapableWorkerKnown({ links, job, task })
    );
    if (!isHopeless) return false;
    answers.refuse(job, JobRefusalReason.NoCapableWorker, {
      retryAfterMilliseconds: UNKNOWN_RETRY_MILLISECONDS,
      context: { sidecars: links.length },
    });
    return true;
  }

  #refuseIfLate(job: DispatchJob): void {
    if (!job.isRefusable || !this.hasWorkers()) return;
    const { now } = this.#options.collector;
    const backlog = this.#backlogOf(job);
    if (canStartInTime(job, now, backlog)) return;
    this.#refuse(job, JobRefusalReason.Overloaded);
  }

  #refuse(job: DispatchJob, reason: JobRefusalReason): void {
    const backlog = this.#backlogOf(job);
    this.#remove(job);
    this.#options.answers.refuse(job, reason, {
      retryAfterMilliseconds: retryAfter(backlog),
      context: {
        expectedWaitMilliseconds: Math.round(expectedWait(backlog)),
        servedMillicores: Math.round(backlog.servedMillicores),
        queuedJobs: this.#queue.size,
      },
    });
  }

  #giveUp(job: DispatchJob, reason: GivenUpReason): void {
    this.#options.placer.takeBack(job);
    this.#remove(job);
    this.#options.answers.giveUp(job, reason);
  }

  #remove(job: DispatchJob): void {
    this.#jobs.delete(job.id);
    this.#queue.remove(job);
    for (const request of job.requests) this.#byRequest.delete(request);
  }

  /**
   * Work until the last task of a job has started, and this entry's part of the workers' capacity. The
   * job's own work counts: its client waits for its last task.
   */
  #backlogOf(job: DispatchJob): Backlog {
    const ahead = this.#queue.ahead(job).filter((other) => other !== job);
    const workAhead = [...ahead, job].reduce(
      (sum, { waitingWork }) => sum + waitingWork,
      0,
    );
    const { now } = this.#options.collector;
    const served = this.#servedMillicores(job);
    const moreUrgent = this.#arriving.moreUrgentThan(now, job.route.priority);
    const servedMillicores = Math.max(
      LEAST_SHARE * served,
      served - moreUrgent,
    );
    return { workAhead, servedMillicores };
  }

  /**
   * What this entry can expect of the workers of a job's service: its part of what is used there, and an
   * even share at least, so that an entry that has nothing there yet does not refuse everything.
   */
  #servedMillicores(job: DispatchJob): number {
    const { links, attempts, entryCount } = this.#options.source;
    let capacity = 0;
    let used = 0;
    let own = 0;
    for (const { state, address } of links.all()) {
      if (state.phase !== LinkPhase.Open) continue;
      const { profile, load } = state;
      if (profile === undefined || load?.isTakingWork !== true) continue;
      if (profile.service !== job.route.service) continue;
      capacity += profile.capacity.processorMillicores;
      used += profile.capacity.processorMillicores -
        load.free.processorMillicores;
      for (const { task } of attempts.at(address)) {
        own += task.step.resources.processorMillicores;
      }
    }
    const evenShare = 1 / Math.max(1, entryCount());
    const share = used === 0 ? 1 : Math.min(1, Math.max(evenShare, own / used));
    return capacity * share;
  }

  #tellGauges(): void {
    this.#tellGauge(Gauge.QueuedJobs, this.#queue.size);
    this.#tellGauge(Gauge.RunningJobs, this.#jobs.size - this.#queue.size);
  }

  #tellGauge(gauge: Gauge, value: number): void {
    if (this.#toldGauges.get(gauge) === value) return;
    this.#toldGauges.set(gauge, value);
    this.#options.collector.add({ kind: OutputKind.SetGauge, gauge, value });
  }
}
