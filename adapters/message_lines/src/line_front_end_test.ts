/**
 * Drives the state machines of an entry, an owner and a runner with plain typed messages only.
 */
import { test } from "node:test";
import { EntryDecisions } from "@eelgrassfront/entry";
import { createLogRead } from "@eelgrassfront/fixtures";
import { DEFAULT_TIMING } from "@eelgrassfront/membership";
import {
  ClaimReason,
  Idempotence,
  InputKind,
  JobOutcomeKind,
  type LogRecord,
  LogRecordKind,
  NoFreeSlotPolicy,
  OutputKind,
  PeerReplyKind,
  PeerRequestKind,
  type ProcessIdentifier,
  type ProcessInput,
  Role,
  TaskEndKind,
} from "@eelgrassfront/model";
import { SidecarDecisions } from "@eelgrassfront/sidecar";
import { expect } from "earl";
import { LineError, LineFrontEnd } from "./line_front_end.ts";

const ENTRY: ProcessIdentifier = "entry-1~a";
const SIDECAR: ProcessIdentifier = "sidecar-1~a";
const OTHER_SIDECAR: ProcessIdentifier = "sidecar-2~a";
const ATTEMPT = "assessors/key#0.4.1" as const;
const BACKEND_SERVER = {
  service: "dossier",
  slots: 1,
  processorCores: 32,
  memoryMegabytes: 1_024,
  accelerators: 0,
};
const TASK = { payload: "1", declaredMilliseconds: 50 };
const REQUIREMENTS = {
  processorCores: 0,
  memoryMegabytes: 0,
  accelerators: 0,
};
const SUBMISSION = {
  team: "assessors",
  idempotencyKey: "key",
  digest: "digest",
  kindOfWork: "check",
  idempotence: Idempotence.Idempotent,
  deadlineMilliseconds: 1_000,
  requirements: REQUIREMENTS,
  tasks: [TASK],
};
const START_TASK = {
  kind: PeerRequestKind.StartTask,
  shard: 0,
  epoch: 4,
  submission: "assessors/key",
  digest: "digest",
  taskIndex: 0,
  attempt: 1,
  team: "assessors",
  kindOfWork: "check",
  idempotence: Idempotence.Idempotent,
  task: TASK,
  requirements: REQUIREMENTS,
  remainingMilliseconds: 1_000,
  servedMilliseconds: 0,
  slotClaim: NoFreeSlotPolicy.Wait,
} as const;

test("a runner accepts a task, runs it and replies with its result", () => {
  const driver = new LineDriver(sidecar());
  driver.send(0, {
    kind: InputKind.BackendServerDescribed,
    description: BACKEND_SERVER,
  });
  driver.send(1, createLogRead([joined(SIDECAR), joined(OTHER_SIDECAR)]));
  driver.send(2, {
    kind: InputKind.PeerRequestArrived,
    from: OTHER_SIDECAR,
    request: 7,
    message: START_TASK,
  });
  expect(driver.kinds()).toInclude(OutputKind.ExecuteTask);
  driver.send(52, {
    kind: InputKind.TaskExecutionEnded,
    attempt: ATTEMPT,
    end: { kind: TaskEndKind.Succeeded, result: "done", runMilliseconds: 50 },
  });
  const reply = driver.only(OutputKind.SendReply);
  expect(reply["request"]).toEqual(7);
  expect(reply["message"] as object).toLooseEqual({
    kind: PeerReplyKind.TaskEnded,
    end: { kind: TaskEndKind.Succeeded, result: "done", runMilliseconds: 50 },
    load: (reply["message"] as Line)["load"],
  });
});

test("an entry relays a submission and answers its caller", () => {
  const driver = new LineDriver(entry());
  driver.send(0, createLogRead([configuration(), joined(SIDECAR), claimed()]));
  driver.send(1, {
    kind: InputKind.SubmissionArrived,
    request: `${ENTRY}:1`,
    submission: SUBMISSION,
  });
  const relayed = driver.lines.find((line) =>
    (line["message"] as Line | undefined)?.["kind"] ===
      PeerRequestKind.SubmitJob
  );
  driver.send(60, {
    kind: InputKind.PeerReplyArrived,
    from: SIDECAR,
    request: Number(relayed?.["request"]),
    message: {
      kind: PeerReplyKind.JobAnswered,
      outcome: { kind: JobOutcomeKind.Completed, results: ["done"] },
      isKeyReused: false,
      epoch: 3,
    },
  });
  const answer = driver.only(OutputKind.AnswerCaller);
  expect(answer["request"]).toEqual(`${ENTRY}:1`);
  expect(answer["epochToken"]).toEqual(3);
});

test("an invalid line is rejected with its line number", () => {
  const frontEnd = new LineFrontEnd(entry(), () => {});
  frontEnd.processLine("");
  expect(() => frontEnd.processLine("{")).toThrow(LineError, "line 2");
  expect(() => frontEnd.processLine(`{"now":1,"input":{"kind":"nonsense"}}`))
    .toThrow(
      LineError,
      "line 3: input: an object whose kind is one of",
    );
});

type Line = Record<string, unknown>;

class LineDriver {
  lines: Line[] = [];
  readonly #frontEnd: LineFrontEnd;

  constructor(decisions: EntryDecisions | SidecarDecisions) {
    this.#frontEnd = new LineFrontEnd(decisions, (line) => {
      this.lines.push(JSON.parse(line));
    });
  }

  send(now: number, input: ProcessInput): void {
    this.lines = [];
    this.#frontEnd.processLine(JSON.stringify({ now, input }));
  }

  kinds(): readonly unknown[] {
    return this.lines.map((line) => line["kind"]);
  }

  only(kind: OutputKind): Line {
    const found = this.lines.filter((line) => line["kind"] === kind);
    expect(found.length).toEqual(1);
    return found[0] ?? {};
  }
}

function sidecar(): SidecarDecisions {
  return new SidecarDecisions({
    self: SIDECAR,
    availabilityZone: "zone-1",
    address: "127.0.0.1:1",
    timing: DEFAULT_TIMING,
    random: () => 0,
    shardCount: 1,
    ownerCount: 1,
    maximumAnswerBytes: 1_000_000,
    maximumResultBytes: 1_000_000,
    maximumQueuedTasks: 10,
  });
}

function entry(): EntryDecisions {
  return new EntryDecisions({
    self: ENTRY,
    availabilityZone: "zone-1",
    address: "127.0.0.1:2",
    timing: DEFAULT_TIMING,
    shardCount: 1,
    maximumPending: 10,
  });
}

function joined(process: ProcessIdentifier): LogRecord {
  return {
    kind: LogRecordKind.MemberJoined,
    process,
    role: Role.Sidecar,
    availabilityZone: "zone-1",
    address: "127.0.0.1:3",
    backendServer: BACKEND_SERVER,
  };
}

function claimed(): LogRecord {
  return {
    kind: LogRecordKind.ShardsClaimed,
    claimant: SIDECAR,
    reason: ClaimReason.Unowned,
    claims: [{ shard: 0, replaces: 0 }],
  };
}

function configuration(): LogRecord {
  return {
    kind: LogRecordKind.ConfigurationPublished,
    publication: "first",
    replaces: 0,
    publishedBy: "test",
    configuration: {
      kindsOfWork: [],
      teams: [],
      limits: {
        maximumTasksPerJob: 1,
        retryBudget: 0,
        maximumQueuedTasks: 1,
      },
    },
  };
}
