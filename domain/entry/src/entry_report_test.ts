/**
 * The report of an entry, and the conditions of its readiness.
 */
import { describe, it } from "node:test";
import { createLogRead } from "@eelgrassfront/fixtures";
import { DEFAULT_TIMING } from "@eelgrassfront/membership";
import {
  InputKind,
  type LogRecord,
  LogRecordKind,
  OutputKind,
  type ProcessOutput,
  type ProcessReport,
  Readiness,
  Role,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { EntryDecisions } from "./entry_decisions.ts";

const SIDECAR: LogRecord = {
  kind: LogRecordKind.MemberJoined,
  process: "sidecar-0~a",
  role: Role.Sidecar,
  availabilityZone: "zone-1",
  address: "127.0.0.1:2",
  backendServer: {
    service: "dossier",
    slots: 8,
    processorCores: 32,
    memoryMegabytes: 131_072,
    accelerators: 0,
  },
};
const CONFIGURATION: LogRecord = {
  kind: LogRecordKind.ConfigurationPublished,
  publication: "first",
  replaces: 0,
  publishedBy: "operator",
  configuration: {
    kindsOfWork: [],
    teams: [],
    limits: { maximumTasksPerJob: 220, retryBudget: 0, maximumQueuedTasks: 1 },
  },
};

function createEntry(): EntryDecisions {
  return new EntryDecisions({
    self: "entry-0~a",
    availabilityZone: "zone-1",
    address: "127.0.0.1:1",
    timing: DEFAULT_TIMING,
    shardCount: 4,
    maximumPending: 1,
  });
}

function reportOf(decisions: EntryDecisions): ProcessReport | undefined {
  const outputs = decisions.step(10, {
    kind: InputKind.ReportRequested,
    request: 1,
  });
  return outputs.find((output) => output.kind === OutputKind.AnswerOperator)
    ?.report;
}

function readinessIn(outputs: readonly ProcessOutput[]): readonly boolean[] {
  return outputs.filter((output) => output.kind === OutputKind.ReportReadiness)
    .map(({ isReady }) => isReady);
}

describe("the report of an entry", () => {
  it("has the readiness `starting` until configuration and membership are known", () => {
    const decisions = createEntry();
    expect(reportOf(decisions)?.readiness).toEqual(Readiness.Starting);
    expect(readinessIn(decisions.step(1, createLogRead([SIDECAR])))).toEqual(
      [],
    );
    expect(reportOf(decisions)?.readiness).toEqual(Readiness.Starting);
    const outputs = decisions.step(2, createLogRead([SIDECAR, CONFIGURATION]));
    expect(readinessIn(outputs)).toEqual([true]);
    expect(reportOf(decisions)?.readiness).toEqual(Readiness.Ready);
  });

  it("is not ready from the start of a drain", () => {
    const decisions = createEntry();
    decisions.step(1, createLogRead([SIDECAR, CONFIGURATION]));
    const outputs = decisions.step(2, { kind: InputKind.DrainRequested });
    expect(readinessIn(outputs)).toEqual([false]);
    expect(reportOf(decisions)?.readiness).toEqual(Readiness.Leaving);
  });

  it("contains the state of the fleet, the log and the configuration", () => {
    const decisions = createEntry();
    decisions.step(1, createLogRead([SIDECAR, CONFIGURATION]));
    expect(reportOf(decisions)).toEqual({
      process: "entry-0~a",
      role: Role.Entry,
      availabilityZone: "zone-1",
      address: "127.0.0.1:1",
      readiness: Readiness.Ready,
      log: { nextOffset: 3, isAvailable: true, lagMilliseconds: 10 },
      configuration: {
        version: 2,
        publication: "first",
        publishedBy: "operator",
      },
      fleet: {
        entries: 0,
        sidecars: 1,
        slots: 8,
        reachable: 1,
        unreachable: [],
      },
      waitingRequests: 0,
      epochToken: 2,
    });
  });
});
