/**
 * An entry against what sidecars and clients may do: it refuses only what has not run, at once where it
 * cannot be served, and never while a worker has room.
 */
import { test } from "node:test";
import {
  type AnswerClient,
  ClientAnswerKind,
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
  InterruptionReason,
  JobRequestKind,
  NotStartedReason,
  OutputKind,
  RefusalReason,
  type RequestSent,
  Role,
  SettlementKind,
  Step,
  type TaskSettlement,
  UnsupportedFeature,
  type WorkerLoad,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { DispatcherDecisions } from "./dispatcher_decisions.ts";

const CAPACITY_MILLICORES = 8_000;

test("a job is placed where the most is free and answered when every task has completed", () => {
  const rig = Rig.ready(["near", "far"], { near: 4_000, far: 8_000 });
  rig.handIn(1, { id: "a", tasks: 2, millicores: 1_000 });
  expect(rig.placedAt()).toEqual(["far", "far"]);
  rig.settleAll({ kind: SettlementKind.Completed, runMilliseconds: 100 });
  expect(rig.answerTo(1)?.kind).toEqual(ClientAnswerKind.Ended);
});

test("a job that cannot start in time is refused at once, with a time to come back", () => {
  const rig = Rig.ready(["only"], { only: 0 });
  for (let request = 1; request <= 40; request += 1) {
    rig.handIn(request, { id: `job${request}`, tasks: 4, millicores: 4_000 });
  }
  const last = rig.answerTo(40);
  expect(last?.kind).toEqual(ClientAnswerKind.Refused);
  if (last?.kind !== ClientAnswerKind.Refused) return;
  expect(last.reason).toEqual(RefusalReason.Overloaded);
  expect(last.retryAfterMilliseconds ?? 0).toBeGreaterThanOrEqual(1_000);
});

test("nothing is refused while a worker has room", () => {
  const rig = Rig.ready(["only"], { only: CAPACITY_MILLICORES });
  rig.handIn(1, { id: "a", tasks: 8, millicores: 1_000 });
  rig.at(5_000 - 1);
  expect(rig.answerTo(1)).toEqual(undefined);
});

test("while no worker is known a job is kept, and placed when one is", () => {
  const rig = Rig.ready(["only"], { only: CAPACITY_MILLICORES }, false);
  rig.handIn(1, { id: "a", tasks: 2, millicores: 1_000 });
  expect(rig.answerTo(1)).toEqual(undefined);
  rig.at(1_000);
  rig.at(1_050);
  expect(rig.placedAt()).toEqual(["only", "only"]);
});

test("while no worker is known a job is not kept for ever", () => {
  const rig = Rig.ready(["only"], { only: CAPACITY_MILLICORES }, false);
  rig.handIn(1, { id: "a", tasks: 2, millicores: 1_000 });
  rig.at(1_600, { isAnswered: false });
  expect(rig.answerTo(1)?.kind).toEqual(ClientAnswerKind.Refused);
});

test("no task waits at a sidecar where another waits", () => {
  const rig = Rig.ready(["only"], { only: 0 });
  rig.handIn(1, { id: "a", tasks: 4, millicores: 1_000 });
  expect(rig.placedAt()).toEqual(["only"]);
});

test("a worker whose tasks stand still gets none for a while", () => {
  const rig = Rig.ready(["one", "two"], { one: 8_000, two: 7_000 });
  rig.handIn(1, { id: "a", tasks: 1, millicores: 1_000 });
  rig.settleAll({
    kind: SettlementKind.Interrupted,
    reason: InterruptionReason.NoProgress,
  });
  rig.handIn(2, { id: "b", tasks: 1, millicores: 1_000 });
  expect(rig.placedAt()).toEqual(["one", "two", "two"]);
});

test("a job whose tasks were at a lost sidecar is never refused as not run", () => {
  const rig = Rig.ready(["only"], { only: CAPACITY_MILLICORES });
  rig.handIn(1, { id: "a", tasks: 1, millicores: 1_000 });
  for (let now = 0; now <= 4_900; now += 50) rig.at(now, { isAnswered: false });
  expect(rig.answerTo(1)).toEqual(undefined);
  for (let now = 4_950; now <= 5_100; now += 50) {
    rig.at(now, { isAnswered: false });
  }
  expect(rig.answerTo(1)?.kind).toEqual(ClientAnswerKind.GivenUp);
});

test("a task at a lost sidecar is placed again only when it has certainly ended", () => {
  const rig = Rig.ready(["one", "two"], { one: 8_000, two: 7_000 });
  rig.handIn(1, { id: "a", tasks: 1, millicores: 1_000 });
  expect(rig.placedAt()).toEqual(["one"]);
  let now = 0;
  for (; now <= 600; now += 50) rig.at(now, { except: "one" });
  expect(rig.placedAt()).toEqual(["one"]);
  for (; now <= 1_700; now += 50) rig.at(now, { except: "one" });
  expect(rig.placedAt()).toEqual(["one", "two"]);
});

test("the alarm is never due at the time at which it rang", () => {
  const rig = Rig.ready(["only"], { only: CAPACITY_MILLICORES });
  rig.handIn(1, { id: "a", tasks: 1, millicores: 1_000 });
  let now = 0.1 + 0.2;
  for (let ring = 0; ring < 400; ring += 1) {
    rig.at(now, { isAnswered: false });
    const next = rig.nextAlarm() ?? Infinity;
    expect(next).toBeGreaterThan(now);
    now = next;
  }
});

test("a task that its worker failed is tried at another, as often as its route allows", () => {
  const rig = Rig.ready(["one", "two"], { one: 8_000, two: 7_000 });
  rig.handIn(1, { id: "a", tasks: 1, millicores: 1_000 });
  const failed = { kind: SettlementKind.Failed, runMilliseconds: 10 } as const;
  rig.settleAll(failed);
  expect(rig.placedAt()).toEqual(["one", "two"]);
  rig.settleAll(failed);
  rig.settleAll(failed);
  expect(rig.answerTo(1)).toEqual(
    {
      kind: ClientAnswerKind.Ended,
      state: "failed",
    } as AnswerClient["answer"],
  );
});

test("an interruption does not count as a failure of the task", () => {
  const rig = Rig.ready(["only"], { only: CAPACITY_MILLICORES });
  rig.handIn(1, { id: "a", tasks: 1, millicores: 1_000 });
  for (let time = 0; time < 5; time += 1) {
    rig.settleAll({
      kind: SettlementKind.Interrupted,
      reason: InterruptionReason.LeaseExpired,
    });
  }
  expect(rig.answerTo(1)).toEqual(undefined);
});

test("a refusal by the sidecar leaves the job refusable", () => {
  const rig = Rig.ready(["only"], { only: CAPACITY_MILLICORES });
  rig.handIn(1, { id: "a", tasks: 1, millicores: 1_000 });
  rig.settleAll({
    kind: SettlementKind.NotStarted,
    reason: NotStartedReason.Draining,
  }, { isTakingWork: false });
  // A job is kept for a while when no worker takes work; its refusal after that must still be true.
  rig.at(1_600, { isAnswered: false });
  expect(rig.answerTo(1)?.kind).toEqual(ClientAnswerKind.Refused);
});

test("the tasks of a client that left are taken back", () => {
  const rig = Rig.ready(["only"], { only: CAPACITY_MILLICORES });
  rig.handIn(1, { id: "a", tasks: 3, millicores: 1_000 });
  rig.step({ kind: DispatchInputKind.ClientGone, request: 1 });
  expect(rig.sent(DispatchRequestKind.TakeBackTask).length).toEqual(3);
});

test("what is not built is refused, and a route that is not there is told", () => {
  const rig = Rig.ready(["only"], { only: CAPACITY_MILLICORES });
  rig.step({
    kind: DispatchInputKind.JobHandedIn,
    request: 1,
    target: { host: "checks.example", path: "/scan/a" },
    body: {
      kind: JobRequestKind.Unsupported,
      feature: UnsupportedFeature.DurableJob,
    },
  });
  expect(rig.answerTo(1)).toEqual({
    kind: ClientAnswerKind.Refused,
    reason: RefusalReason.Unsupported,
  });
  rig.handIn(2, { id: "b", tasks: 1, millicores: 1, prefix: "/none/" });
  expect(rig.answerTo(2)).toEqual({ kind: ClientAnswerKind.NoSuchRoute });
});

test("a job that no worker could ever run is refused at once", () => {
  const rig = Rig.ready(["only"], { only: CAPACITY_MILLICORES });
  rig.handIn(1, { id: "a", tasks: 1, millicores: CAPACITY_MILLICORES + 1 });
  const answer = rig.answerTo(1);
  expect(answer?.kind).toEqual(ClientAnswerKind.Refused);
});

test("asked to stop, an entry serves what still comes, on connections that end", () => {
  const rig = Rig.ready(["only"], { only: CAPACITY_MILLICORES });
  rig.step({ kind: InputKind.DrainAsked });
  rig.at(1_000);
  rig.handIn(1, { id: "a", tasks: 1, millicores: 1_000 });
  rig.settleAll({ kind: SettlementKind.Completed, runMilliseconds: 100 });
  expect(rig.lastAnswer()?.isLast).toEqual(true);
  expect(rig.hasStopped).toEqual(false);
  rig.at(3_000);
  expect(rig.hasStopped).toEqual(true);
});

interface JobSketch {
  readonly id: string;
  readonly tasks: number;
  readonly millicores: number;
  readonly prefix?: string;
}

/** Which sidecars answer renewals. */
interface Answering {
  readonly isAnswered?: boolean;
  readonly except?: string;
}

class Rig {
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
  });
  readonly #answers: AnswerClient[] = [];
  readonly #requests: RequestSent<DispatchRequest>[] = [];
  readonly #placements: string[] = [];
  readonly #free = new Map<string, number>();
  #revision = 1;
  #now = 0;

  /** A rig with open sessions. */
  static ready(
    sidecars: readonly string[],
    free: Readonly<Record<string, number>>,
    isOpen = true,
  ): Rig {
    const rig = new Rig();
    for (const name of sidecars) rig.#free.set(name, free[name] ?? 0);
    rig.step({
      kind: DispatchInputKind.ConfigurationRead,
      configuration: {
        version: 1,
        routes: [{
          name: "scan",
          host: "checks.example",
          requestPrefix: "/scan/",
          service: "service",
          priority: 0,
          maximumAttempts: 3,
          slackFactor: 1.6,
          latencyAllowanceMilliseconds: 60,
        }],
      },
    });
    rig.step({
      kind: DispatchInputKind.MembersRead,
      members: sidecars.map((name) => ({
        process: `${name}~a` as const,
        role: Role.Sidecar,
        address: name,
        availabilityZone: "zone-a",
      })),
      removedNames: [],
    });
    rig.#answerSessions({ isAnswered: isOpen });
    return rig;
  }

  nextAlarm(): number | undefined {
    return this.#entry.nextAlarm();
  }

  /** Goes on to a time in steps in which no pause of the process shows. */
  at(now: number, answering: Answering = {}): void {
    do {
      this.#now = Math.min(now, this.#now + 200);
      this.step({ kind: InputKind.AlarmRang });
      this.#answerSessions(answering);
    } while (this.#now < now);
  }

  step(input: DispatchInput): void {
    const outputs = this.#entry.step(this.#now, input);
    for (const output of outputs) this.#take(output);
  }

  handIn(
    request: number,
    { id, tasks, millicores, prefix = "/scan/" }: JobSketch,
  ): void {
    this.step({
      kind: DispatchInputKind.JobHandedIn,
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
            estimatedMilliseconds: 100,
            dependsOn: [],
          }],
        },
      },
    });
  }

  /** Settles every attempt that is not settled. */
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

  placedAt(): readonly string[] {
    return this.#placements;
  }

  sent(kind: DispatchRequestKind): readonly RequestSent<DispatchRequest>[] {
    return this.#requests.filter(({ message }) => message.kind === kind);
  }

  answerTo(request: number): AnswerClient["answer"] | undefined {
    return this.#answers.find((answer) => answer.request === request)?.answer;
  }

  lastAnswer(): AnswerClient | undefined {
    return this.#answers.at(-1);
  }

  #answerSessions({ isAnswered = true, except = "" }: Answering): void {
    const kinds = [
      DispatchRequestKind.OpenSession,
      DispatchRequestKind.RenewSession,
    ];
    for (const kind of kinds) {
      for (const sent of this.#takeRequests(kind)) {
        if (!isAnswered || sent.address === except) continue;
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
    this.#loseOthers({ isAnswered, except });
  }

  /** Calls to a sidecar that does not answer are lost in the end. */
  #loseOthers({ isAnswered, except }: Required<Answering>): void {
    if (isAnswered && except === "") return;
    for (const sent of this.#takeRequests(DispatchRequestKind.WatchLoad)) {
      if (isAnswered && sent.address !== except) continue;
      this.step({
        kind: InputKind.PeerRequestLost,
        peer: sent.peer,
        request: sent.request,
        error: {
          tag: ErrorTag.ConnectionLost,
          step: Step.CallPeer,
          peer: sent.peer,
          detail: "the connection ended",
        },
      });
    }
  }

  #loadOf(address: string): WorkerLoad {
    this.#revision += 1;
    const resources = { memoryMegabytes: 1_000, accelerators: 0 };
    return {
      revision: this.#revision,
      worker: `worker-${address}`,
      free: {
        ...resources,
        processorMillicores: this.#free.get(address) ?? 0,
      },
      waiting: { ...resources, memoryMegabytes: 0, processorMillicores: 0 },
      isTakingWork: true,
      requestsTaken: 0,
    };
  }

  #takeRequests(
    kind: DispatchRequestKind,
  ): readonly RequestSent<DispatchRequest>[] {
    const taken = this.sent(kind);
    for (const sent of taken) {
      this.#requests.splice(this.#requests.indexOf(sent), 1);
    }
    return taken;
  }

  #reply(
    { peer, request }: RequestSent<DispatchRequest>,
    message: DispatchReply,
  ): void {
    this.step({
      kind: InputKind.PeerReplyArrived,
      from: peer,
      request,
      message,
    });
  }

  #take(output: DispatchOutput): void {
    if (output.kind === OutputKind.Stop) this.hasStopped = true;
    if (output.kind === DispatchOutputKind.AnswerClient) {
      this.#answers.push(output);
    }
    if (output.kind !== OutputKind.SendRequest) return;
    this.#requests.push(output);
    if (output.message.kind === DispatchRequestKind.RunTask) {
      this.#placements.push(output.address);
    }
  }
}
