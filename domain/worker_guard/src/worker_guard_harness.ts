/**
 * Test harness of a sidecar: the test acts as its worker and its entries.
 */
import {
  type CallWorker,
  type CrashSuspect,
  type DispatchInput,
  DispatchInputKind,
  type DispatchOutput,
  DispatchOutputKind,
  type DispatchReply,
  DispatchReplyKind,
  type DispatchRequest,
  DispatchRequestKind,
  ErrorTag,
  type EventNumber,
  InputKind,
  type OutgoingRequest,
  OutputKind,
  type ProcessEvent,
  type ProcessIdentifier,
  type RenewSession,
  Role,
  type RunEnd,
  type RunEndKind,
  Step,
  type TaskSettlement,
  type WorkerAnswer,
  WorkerAnswerKind,
  type WorkerCallKind,
  type WorkerDescription,
  type WorkerLoad,
  WorkerPhase,
} from "@eelgrassfront/model";
import { WorkerGuardDecisions } from "./worker_guard_decisions.ts";
import type { ExpectedWorker } from "./worker_lifecycle.ts";

/** The entry that sends most requests. */
export const ENTRY: ProcessIdentifier = "entry-1~a";
/** Processor capacity of the worker, in millicores. */
export const CAPACITY_MILLICORES = 8_000;
/** Longest time that the worker needs to stop a run. */
export const STOP_MILLISECONDS = 50;
/** Start time of the worker's first incarnation. */
export const BORN_AT = 1_000;

interface TaskOptions {
  readonly job: string;
  readonly millicores: number;
  readonly entry?: ProcessIdentifier;
  /** Kind of work of a task that runs apart. */
  readonly suspectRoute?: string;
  readonly attempt?: number;
  /** Label that the worker must have; undefined for an entry that does not say what its tasks require. */
  readonly requiredLabel?: string;
}

/** A report of a crash and its receiver. */
export interface SentCrashReport {
  readonly to: ProcessIdentifier;
  readonly suspects: readonly CrashSuspect[];
}

interface RunListOptions {
  /** Jobs whose first task is listed as running. */
  readonly running?: readonly string[];
  /** Progress of all listed runs. */
  readonly percent?: number;
  readonly ended?: readonly {
    readonly job: string;
    readonly kind: RunEndKind;
  }[];
}

/** Passes inputs to a sidecar and collects its outputs. */
export class WorkerGuardHarness {
  hasStopped = false;
  /** Reports of crashes that were sent to entries. */
  readonly crashReports: SentCrashReport[] = [];
  readonly #guard: WorkerGuardDecisions;
  readonly #calls: CallWorker[] = [];
  readonly #started: string[] = [];
  readonly #replies = new Map<number, DispatchReply[]>();
  readonly #events: ProcessEvent[] = [];
  readonly #sessions = new Map<ProcessIdentifier, number>();
  #now = 0;
  /** How far the worker's clock is ahead of the sidecar's. */
  #clockAhead = 0;
  #sequence = 0;
  #lastEnd = 0;
  #bornAt = BORN_AT;
  #capacityMillicores = CAPACITY_MILLICORES;
  #labels: readonly string[] = [];
  #savedCapacity: number | undefined;

  /** A sidecar whose settings name the given worker, or none. */
  constructor(expectedWorker?: ExpectedWorker) {
    this.#guard = new WorkerGuardDecisions({
      self: {
        process: "sidecar-1~a",
        role: Role.Sidecar,
        address: "127.0.0.1:7720",
        availabilityZone: "zone-a",
      },
      seeds: [],
      firstFencingToken: 100,
      leaseMilliseconds: 1_000,
      graceMilliseconds: 6_000,
      stopMilliseconds: STOP_MILLISECONDS,
      ...(expectedWorker === undefined ? {} : { expectedWorker }),
    });
  }

  /** A sidecar that has read a saved worker, with an empty list of runs and an open session. */
  static withSavedWorker(): WorkerGuardHarness {
    const harness = new WorkerGuardHarness();
    harness.step({
      kind: DispatchInputKind.ConfigurationRead,
      configuration: {
        version: 1,
        routes: [{
          name: "scan",
          host: "checks.example",
          requestPrefix: "/scan/",
          service: "service",
          healthPath: "/health",
          priority: 0,
          maximumAttempts: 3,
          slackFactor: 1.6,
          latencyAllowanceMilliseconds: 60,
        }],
      },
    });
    harness.readSavedWorker();
    harness.answerPoll({});
    harness.openSession(ENTRY, 1);
    return harness;
  }

  /** A sidecar whose worker has reported, with an empty list of runs and an open session. */
  static ready(): WorkerGuardHarness {
    const harness = new WorkerGuardHarness();
    harness.report();
    harness.answerPoll({});
    harness.openSession(ENTRY, 1);
    return harness;
  }

  setNow(now: number): void {
    this.#now = now;
  }

  advanceTo(now: number): void {
    this.#now = now;
    this.step({ kind: InputKind.AlarmFired });
  }

  /** Suspends the sidecar's VM: its own clock stands still, and the worker's goes on. */
  suspend(milliseconds: number): void {
    this.#clockAhead += milliseconds;
  }

  step(input: DispatchInput): void {
    for (const output of this.#guard.step(this.#now, input)) this.#add(output);
  }

  report(
    {
      phase = WorkerPhase.Ready,
      bornAt = this.#bornAt,
      capacityMillicores = this.#capacityMillicores,
      labels = this.#labels,
      coldMilliseconds = 0,
    }: {
      readonly phase?: WorkerPhase;
      readonly bornAt?: number;
      readonly capacityMillicores?: number;
      readonly labels?: readonly string[];
      readonly coldMilliseconds?: number;
    } = {},
  ): void {
    this.#bornAt = bornAt;
    this.#capacityMillicores = capacityMillicores;
    this.#labels = labels;
    this.#sequence += 1;
    const description = {
      ...this.#describe(phase),
      clock: this.#workerClock,
      ...(coldMilliseconds > 0 ? { coldMilliseconds } : {}),
    };
    this.step({ kind: DispatchInputKind.WorkerReported, description });
  }

  /** Lets another incarnation of the worker answer from now on, which has not reported yet. */
  restartWorker(bornAt: number): void {
    this.#bornAt = bornAt;
    this.#lastEnd = 0;
  }

  /** Passes the saved description of the worker to the sidecar. */
  readSavedWorker(): void {
    const description = this.#describe(WorkerPhase.Ready);
    this.step({ kind: DispatchInputKind.SavedWorkerRead, description });
  }

  get #workerClock(): number {
    return this.#now + this.#clockAhead;
  }

  #describe(phase: WorkerPhase): WorkerDescription {
    return {
      incarnation: { id: "i-1", bornAt: this.#bornAt },
      service: "service",
      address: "127.0.0.1:8080",
      phase,
      capacity: {
        processorMillicores: this.#capacityMillicores,
        memoryMegabytes: 1_000,
        accelerators: 0,
      },
      labels: this.#labels,
      sequence: this.#sequence,
    };
  }

  openSession(entry: ProcessIdentifier, request: number): void {
    const message = {
      kind: DispatchRequestKind.OpenSession,
      givenUp: 0,
    } as const;
    this.#request(entry, request, message);
    const reply = this.#replies.get(request)?.at(-1);
    if (reply?.kind !== DispatchReplyKind.SessionGranted) return;
    this.#sessions.set(entry, reply.session);
  }

  renewSession(
    entry: ProcessIdentifier,
    request = 1_000 + this.#now,
    known: Omit<RenewSession, "kind" | "session"> = {},
  ): void {
    const session = this.#sessions.get(entry) ?? 0;
    const kind = DispatchRequestKind.RenewSession;
    this.#request(entry, request, { kind, session, ...known });
  }

  watchLoad(
    entry: ProcessIdentifier,
    request: number,
    { priority, slack = 100 }: {
      readonly priority: number;
      readonly slack?: number;
    },
  ): void {
    this.#request(entry, request, {
      kind: DispatchRequestKind.WatchLoad,
      knownRevision: -1,
      intervalMilliseconds: 20,
      demand: {
        resources: {
          processorMillicores: CAPACITY_MILLICORES,
          memoryMegabytes: 1,
          accelerators: 0,
        },
        priority,
        hasStarted: false,
        slackMilliseconds: slack,
      },
    });
  }

  /** Passes entries to the sidecar, as the platform's store lists them. */
  learnEntries(entries: readonly ProcessIdentifier[]): void {
    this.step({
      kind: DispatchInputKind.MembersRead,
      members: entries.map((process) => ({
        process,
        role: Role.Entry,
        address: process,
        availabilityZone: "zone-a",
      })),
      removedNames: [],
    });
  }

  /** The contexts of the recorded events with a number. */
  eventContexts(number: EventNumber): readonly ProcessEvent["context"][] {
    return this.#events.filter((event) => event.number === number)
      .map(({ context }) => context);
  }

  messagesTo(request: number): readonly DispatchReply[] {
    return this.#replies.get(request) ?? [];
  }

  runTask(
    request: number,
    options: TaskOptions,
  ): void {
    const { job, millicores, entry = ENTRY, attempt = 1 } = options;
    const { suspectRoute, requiredLabel } = options;
    this.#request(entry, request, {
      kind: DispatchRequestKind.RunTask,
      session: this.#sessions.get(entry) ?? 0,
      task: { job, step: 0, index: 0 },
      attempt,
      content: "",
      resources: {
        processorMillicores: millicores,
        memoryMegabytes: 1,
        accelerators: 0,
      },
      expectedMilliseconds: 300,
      ...(suspectRoute === undefined ? {} : { suspectRoute }),
      ...(requiredLabel === undefined
        ? {}
        : { requirements: { service: "service", requiredLabel } }),
    });
  }

  cancelTask(
    request: number,
    { job, entry = ENTRY }: Omit<TaskOptions, "millicores">,
  ): void {
    this.#request(entry, request, {
      kind: DispatchRequestKind.CancelTaskAttempt,
      session: this.#sessions.get(entry) ?? 0,
      task: { job, step: 0, index: 0 },
      attempt: 1,
    });
  }

  answer(call: CallWorker | undefined, answer: WorkerAnswer): void {
    if (call === undefined) throw new Error("the sidecar sent no such call");
    const kind = DispatchInputKind.WorkerAnswered;
    this.step({ kind, call: call.call, answer });
  }

  /** Accepts every pending start call. */
  acceptStarts(): void {
    for (const call of this.takeCalls("start")) {
      this.answer(call, {
        kind: WorkerAnswerKind.Accepted,
        clock: this.#workerClock,
      });
    }
  }

  /** Answers the latest poll, or another one by its position. */
  answerPoll(
    { running = [], ended = [], percent = 0 }: RunListOptions,
    position = -1,
  ): void {
    const polls = this.takeCalls("hold");
    const call = polls.at(position);
    this.#calls.push(...polls.filter((poll) => poll !== call));
    this.answer(call, {
      kind: WorkerAnswerKind.Listed,
      bornAt: this.#bornAt,
      clock: this.#workerClock,
      running: running.map((job) => ({ run: runOf(job), percent })),
      ended: ended.map(({ job, kind }): RunEnd => {
        this.#lastEnd += 1;
        return { number: this.#lastEnd, run: runOf(job), kind };
      }),
    });
  }

  takeCalls(kind: `${WorkerCallKind}`): readonly CallWorker[] {
    const taken = this.#calls.filter(({ request }) => request.kind === kind);
    for (const call of taken) this.#calls.splice(this.#calls.indexOf(call), 1);
    return taken;
  }

  startedJobs(): readonly string[] {
    return this.#started;
  }

  /** Processor capacity of the worker in the description that was saved last. */
  savedCapacity(): number | undefined {
    return this.#savedCapacity;
  }

  repliesTo(request: number): readonly DispatchReplyKind[] {
    return (this.#replies.get(request) ?? [])
      .map(({ kind }) => kind as DispatchReplyKind);
  }

  settlementOf(request: number): TaskSettlement | undefined {
    const [reply] = this.#replies.get(request) ?? [];
    return reply?.kind === DispatchReplyKind.TaskSettled
      ? reply.settlement
      : undefined;
  }

  loadOf(request: number): WorkerLoad | undefined {
    const [reply] = this.#replies.get(request) ?? [];
    return reply?.kind === DispatchReplyKind.TaskSettled
      ? reply.load
      : undefined;
  }

  /** The load in the reply to the opening or the renewal of a session. */
  sessionLoadOf(request: number): WorkerLoad | undefined {
    const [reply] = this.#replies.get(request) ?? [];
    return reply?.kind === DispatchReplyKind.SessionGranted ||
        reply?.kind === DispatchReplyKind.SessionRenewed
      ? reply.load
      : undefined;
  }

  #request(
    from: ProcessIdentifier,
    request: number,
    message: DispatchRequest,
  ): void {
    this.step({ kind: InputKind.PeerRequestArrived, from, request, message });
  }

  #add(output: DispatchOutput): void {
    if (output.kind === OutputKind.Stop) this.hasStopped = true;
    if (output.kind === OutputKind.RecordEvent) this.#events.push(output.event);
    if (output.kind === OutputKind.SendReply) {
      const replies = this.#replies.get(output.request) ?? [];
      this.#replies.set(output.request, [...replies, output.message]);
    }
    if (output.kind === OutputKind.SendRequest) {
      this.crashReports.push(...crashReportOf(output));
    }
    if (output.kind === DispatchOutputKind.SaveWorker) {
      this.#savedCapacity = output.description.capacity.processorMillicores;
    }
    if (output.kind !== DispatchOutputKind.CallWorker) return;
    this.#calls.push(output);
    const { request } = output;
    if ("content" in request) this.#started.push(request.run.task.job);
  }
}

function runOf(job: string) {
  return { task: { job, step: 0, index: 0 }, run: 1 };
}

function crashReportOf(
  { peer, message }: OutgoingRequest<DispatchRequest>,
): readonly SentCrashReport[] {
  return message.kind === DispatchRequestKind.ReportCrash
    ? [{ to: peer, suspects: message.suspects }]
    : [];
}

/** Returns the answer that a call gets after its timeout. */
export function unanswered(): WorkerAnswer {
  return {
    kind: WorkerAnswerKind.Unanswered,
    error: {
      tag: ErrorTag.TimedOut,
      step: Step.ExecuteTask,
      peer: "i-1",
      detail: "no answer in time",
    },
  };
}

/** Returns the answer that a call gets which was not sent, with what kept it from being sent. */
export function notSent(
  tag: ErrorTag.TimedOut | ErrorTag.ConnectionLost,
): WorkerAnswer {
  return {
    kind: WorkerAnswerKind.NotSent,
    error: {
      tag,
      step: Step.ExecuteTask,
      peer: "i-1",
      detail: "the worker did not confirm its incarnation",
    },
  };
}

/** The answer of the worker's VM when nothing listens at the worker's address. */
export const CONNECTION_REFUSED: WorkerAnswer = {
  kind: WorkerAnswerKind.ConnectionRefused,
  error: {
    tag: ErrorTag.Unreachable,
    step: Step.ExecuteTask,
    peer: "i-1",
    detail: "connection refused",
  },
};
