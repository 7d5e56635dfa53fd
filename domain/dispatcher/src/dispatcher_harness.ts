/**
 * Test harness of an entry: it simulates the entry's sidecars and clients.
 */
import {
  type AnswerClient,
  type DispatchInput,
  DispatchInputKind,
  type DispatchOutput,
  DispatchOutputKind,
  type DispatchReply,
  DispatchReplyKind,
  type DispatchRequest,
  DispatchRequestKind,
  ErrorTag,
  InputKind,
  JobRequestKind,
  type Milliseconds,
  type OutgoingRequest,
  OutputKind,
  Role,
  Step,
  type TaskSettlement,
  type WaitingTotal,
  type WorkerLoad,
} from "@eelgrassfront/model";
import { DispatcherDecisions } from "./dispatcher_decisions.ts";

/** Capacity of every simulated worker. */
export const CAPACITY_MILLICORES = 8_000;
/** Time for which another entry may run a job that it claims. */
const LIFETIME_MILLISECONDS: Milliseconds = 10_000;

interface JobParameters {
  readonly id: string;
  readonly tasks: number;
  readonly millicores: number;
  readonly prefix?: string;
  readonly requiredLabel?: string;
}

/** Which sidecars reply: all unless `isUp` is false, but never the one at the address `except`. */
interface SidecarAvailability {
  readonly isUp?: boolean;
  readonly except?: string;
}

/** A renewal with evacuated zones, and the offset of their state. */
interface CarriedEvacuations {
  readonly address: string;
  readonly offset: number;
}

/** An entry with simulated sidecars and clients. */
export class DispatcherHarness {
  hasStopped = false;
  readonly #entry = new DispatcherDecisions({
    self: {
      process: "entry-1~a",
      role: Role.Entry,
      address: "127.0.0.1:7720",
      availabilityZone: "zone-a",
    },
    seeds: [],
    graceMilliseconds: 6_000,
    resubmissionMilliseconds: 1_300,
  });
  readonly #answers: AnswerClient[] = [];
  readonly #requests: OutgoingRequest<DispatchRequest>[] = [];
  readonly #placements: string[] = [];
  readonly #replies: DispatchReply[] = [];
  readonly #renewals: string[] = [];
  readonly #free = new Map<string, number>();
  readonly #slowness = new Map<string, number>();
  readonly #cold = new Set<string>();
  readonly #carriedEvacuations: CarriedEvacuations[] = [];
  readonly #waiting = new Map<string, readonly WaitingTotal[]>();
  #revision = 1;
  #now = 0;

  /** Returns a harness whose sidecars are known, with open sessions unless `isOpen` is false. */
  static ready(
    sidecars: readonly string[],
    free: Readonly<Record<string, number>>,
    isOpen = true,
  ): DispatcherHarness {
    const harness = new DispatcherHarness();
    for (const name of sidecars) harness.#free.set(name, free[name] ?? 0);
    harness.step({
      kind: DispatchInputKind.ConfigurationRead,
      configuration: {
        version: 1,
        routes: ["scan", "later"].map((name, priority) => ({
          name,
          host: "checks.example",
          requestPrefix: `/${name}/`,
          service: "service",
          priority,
          maximumAttempts: 3,
          slackFactor: 1.6,
          latencyAllowanceMilliseconds: 60,
        })),
      },
    });
    harness.step({
      kind: DispatchInputKind.MembersRead,
      members: sidecars.map((name) => ({
        process: `${name}~a` as const,
        role: Role.Sidecar,
        address: name,
        availabilityZone: "zone-a",
      })),
      removedNames: [],
    });
    harness.#answerSessions({ isUp: isOpen });
    return harness;
  }

  /** Reports other entries of the same zone, so that the sidecars are shared among them. */
  learnEntries(count: number): void {
    this.step({
      kind: DispatchInputKind.MembersRead,
      members: Array.from({ length: count }, (_, index) => ({
        process: `entry-${index + 2}~a` as const,
        role: Role.Entry,
        address: `entry-${index + 2}`,
        availabilityZone: "zone-a",
      })),
      removedNames: [],
    });
  }

  /** Sets the free capacity that a sidecar reports from its next load on. */
  setFree(address: string, millicores: number): void {
    this.#free.set(address, millicores);
  }

  setSlowness(address: string, slowness: number): void {
    this.#slowness.set(address, slowness);
  }

  /** Marks the worker of a sidecar as cold from its next load on. */
  setCold(address: string): void {
    this.#cold.add(address);
  }

  /** Sets the demands of other entries that a sidecar reports from its next load on. */
  setWaiting(address: string, waiting: readonly WaitingTotal[]): void {
    this.#waiting.set(address, waiting);
  }

  nextAlarm(): number | undefined {
    return this.#entry.nextAlarm();
  }

  /** Advances to a time in steps short enough not to count as a pause of the process. */
  runTo(now: number, availability: SidecarAvailability = {}): void {
    do {
      this.#now = Math.min(now, this.#now + 200);
      this.step({ kind: InputKind.AlarmFired });
      this.#answerSessions(availability);
    } while (this.#now < now);
  }

  /** Stalls the process, then lets its timer run before it reads what the sidecars have sent. */
  stallUntil(now: number): void {
    this.#now = now;
    this.step({ kind: InputKind.AlarmFired });
    this.#answerSessions({});
  }

  step(input: DispatchInput): void {
    const outputs = this.#entry.step(this.#now, input);
    for (const output of outputs) this.#handleOutput(output);
  }

  submit(
    request: number,
    { id, tasks, millicores, prefix = "/scan/", requiredLabel }: JobParameters,
  ): void {
    this.step({
      kind: DispatchInputKind.JobSubmitted,
      request,
      target: { host: "checks.example", path: `${prefix}${id}` },
      deadlineMilliseconds: 5_000,
      body: {
        kind: JobRequestKind.Runnable,
        job: {
          content: "",
          steps: [{
            taskCount: tasks,
            resources: {
              processorMillicores: millicores,
              memoryMegabytes: 1,
              accelerators: 0,
            },
            estimatedMilliseconds: 300,
            dependsOn: [],
            ...(requiredLabel === undefined ? {} : { requiredLabel }),
          }],
        },
      },
    });
  }

  /** Settles every outstanding attempt. */
  settleAll(
    settlement: TaskSettlement,
    load: Partial<WorkerLoad> = {},
  ): void {
    for (const sent of this.#takeRequests(DispatchRequestKind.RunTask)) {
      this.#reply(sent, {
        kind: DispatchReplyKind.TaskSettled,
        settlement,
        load: { ...this.#loadOf(sent.address), ...load },
      });
    }
  }

  /** Returns the addresses of the sessions that were renewed since the last call. */
  takeRenewals(): ReadonlySet<string> {
    return new Set(this.#renewals.splice(0));
  }

  /** The renewals that carried evacuated zones. */
  carriedEvacuations(): readonly CarriedEvacuations[] {
    return this.#carriedEvacuations;
  }

  placementAddresses(): readonly string[] {
    return this.#placements;
  }

  /** Returns the kinds of the pending requests to a sidecar, in the order in which they were sent. */
  pendingKinds(address: string): readonly DispatchRequestKind[] {
    return this.#requests.filter((sent) => sent.address === address)
      .map(({ message }) => message.kind);
  }

  sent(kind: DispatchRequestKind): readonly OutgoingRequest<DispatchRequest>[] {
    return this.#requests.filter(({ message }) => message.kind === kind);
  }

  /** Breaks the connection to a sidecar: all requests without a reply are lost. */
  loseConnection(address: string): void {
    const lost = this.#requests.filter((sent) => sent.address === address);
    for (const sent of lost) {
      this.#requests.splice(this.#requests.indexOf(sent), 1);
    }
    for (const sent of lost) this.#reportLost(sent);
  }

  /** Loses the pending requests of one kind, as if each had a connection of its own. */
  loseRequests(kind: DispatchRequestKind): void {
    for (const sent of this.#takeRequests(kind)) this.#reportLost(sent);
  }

  /** Answers the pending requests of one kind. */
  answerRequests(kind: DispatchRequestKind, message: DispatchReply): void {
    for (const sent of this.#takeRequests(kind)) this.#reply(sent, message);
  }

  /** Claims a job as another entry. Returns the kind of the reply. */
  claimAs(entry: string, job: string): DispatchReply["kind"] | undefined {
    return this.#ask(entry, {
      kind: DispatchRequestKind.ClaimJob,
      job,
      address: entry,
      ageMilliseconds: 0,
      lifetimeMilliseconds: LIFETIME_MILLISECONDS,
    });
  }

  /** Asks the entry, as another one, to cancel a job. Returns the kind of the reply. */
  cancelAs(entry: string, job: string): DispatchReply["kind"] | undefined {
    return this.#ask(entry, { kind: DispatchRequestKind.CancelHeldJob, job });
  }

  /** Asks the entry, as another one, to yield a job. Returns the kind of the reply. */
  yieldTo(
    entry: string,
    job: string,
    ageMilliseconds: Milliseconds = 0,
  ): DispatchReply["kind"] | undefined {
    const kind = DispatchRequestKind.YieldJob;
    return this.#ask(entry, { kind, job, ageMilliseconds });
  }

  answerTo(request: number): AnswerClient["answer"] | undefined {
    return this.#answers.find((answer) => answer.request === request)?.answer;
  }

  lastAnswer(): AnswerClient | undefined {
    return this.#answers.at(-1);
  }

  #ask(
    entry: string,
    message: DispatchRequest,
  ): DispatchReply["kind"] | undefined {
    this.step({
      kind: InputKind.PeerRequestArrived,
      from: `${entry}~a`,
      request: 1,
      message,
    });
    return this.#replies.at(-1)?.kind;
  }

  #answerSessions({ isUp = true, except = "" }: SidecarAvailability): void {
    const kinds = [
      DispatchRequestKind.OpenSession,
      DispatchRequestKind.RenewSession,
    ];
    for (const kind of kinds) {
      for (const sent of this.#takeRequests(kind)) {
        if (!isUp || sent.address === except) continue;
        const { message } = sent;
        const isFirst = message.kind !== DispatchRequestKind.RenewSession;
        this.#reply(sent, {
          kind: DispatchReplyKind.SessionGranted,
          session: isFirst ? 1 : message.session,
          profile: {
            worker: `worker-${sent.address}`,
            service: "service",
            labels: [],
            capacity: {
              processorMillicores: CAPACITY_MILLICORES,
              memoryMegabytes: 1_000,
              accelerators: 0,
            },
          },
          load: this.#loadOf(sent.address),
        });
      }
    }
    this.#loseWatches({ isUp, except });
  }

  /** Reports the pending load watches of sidecars that do not reply as lost. */
  #loseWatches({ isUp, except }: Required<SidecarAvailability>): void {
    if (isUp && except === "") return;
    for (const sent of this.#takeRequests(DispatchRequestKind.WatchLoad)) {
      if (isUp && sent.address !== except) continue;
      this.#reportLost(sent);
    }
  }

  #reportLost({ peer, request }: OutgoingRequest<DispatchRequest>): void {
    this.step({
      kind: InputKind.PeerRequestLost,
      peer,
      request,
      error: {
        tag: ErrorTag.ConnectionLost,
        step: Step.CallPeer,
        peer,
        detail: "the connection ended",
      },
    });
  }

  #loadOf(address: string): WorkerLoad {
    this.#revision += 1;
    const resources = { memoryMegabytes: 1_000, accelerators: 0 };
    const waiting = this.#waiting.get(address);
    return {
      revision: this.#revision,
      worker: `worker-${address}`,
      free: {
        ...resources,
        processorMillicores: this.#free.get(address) ?? 0,
      },
      slowness: this.#slowness.get(address) ?? 1,
      isTakingWork: true,
      requestsTaken: 0,
      ...(this.#cold.has(address) ? { isCold: true } : {}),
      ...(waiting === undefined ? {} : { waiting }),
    };
  }

  #takeRequests(
    kind: DispatchRequestKind,
  ): readonly OutgoingRequest<DispatchRequest>[] {
    const taken = this.sent(kind);
    for (const sent of taken) {
      this.#requests.splice(this.#requests.indexOf(sent), 1);
    }
    return taken;
  }

  #reply(
    { peer, request }: OutgoingRequest<DispatchRequest>,
    message: DispatchReply,
  ): void {
    this.step({
      kind: InputKind.PeerReplyArrived,
      from: peer,
      request,
      message,
    });
  }

  #handleOutput(output: DispatchOutput): void {
    if (output.kind === OutputKind.Stop) this.hasStopped = true;
    if (output.kind === DispatchOutputKind.AnswerClient) {
      this.#answers.push(output);
    }
    if (output.kind === OutputKind.SendReply) {
      this.#replies.push(output.message);
    }
    if (output.kind !== OutputKind.SendRequest) return;
    this.#requests.push(output);
    if (output.message.kind === DispatchRequestKind.RenewSession) {
      this.#renewals.push(output.address);
      const { evacuations } = output.message;
      if (evacuations !== undefined) {
        const { address } = output;
        this.#carriedEvacuations.push({ address, offset: evacuations.offset });
      }
    }
    if (output.message.kind === DispatchRequestKind.RunTask) {
      this.#placements.push(output.address);
    }
  }
}
