/**
 * Admission refuses jobs that cannot run, exceed a quota or cannot end in time, and no others.
 */
import { describe, test } from "node:test";
import {
  type Configuration,
  Idempotence,
  NotRunReason,
  type Submission,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { assert, integer, property } from "fast-check";
import {
  type AdmissionContext,
  AdmissionKind,
  decideAdmission,
  type DrainEstimate,
} from "./admission.ts";

const CONFIGURATION: Configuration = {
  kindsOfWork: [{
    name: "check",
    service: "service",
    weight: 1,
    floor: 0,
    maximumAttempts: 3,
    defaultDeadlineMilliseconds: 1_000,
    pricePerSecond: 1,
  }],
  teams: [{ name: "team", weight: 1, maximumTasksInFlight: 300 }],
  limits: {
    maximumTasksPerJob: 220,
    retryBudget: 0.1,
    maximumQueuedTasks: 1_000,
  },
};

const IDLE: DrainEstimate = {
  waitingTasks: 0,
  waitingSubmissions: 0,
  slots: 8,
  share: 1,
  runMilliseconds: 300,
};

function submissionOf(
  tasks: number,
  changes: Partial<Submission> = {},
): Submission {
  return {
    team: "team",
    idempotencyKey: "key",
    digest: "digest",
    kindOfWork: "check",
    idempotence: Idempotence.Idempotent,
    deadlineMilliseconds: 10_000,
    requirements: { processorCores: 0, memoryMegabytes: 0, accelerators: 0 },
    tasks: Array.from(
      { length: tasks },
      () => ({ payload: "", declaredMilliseconds: 1 }),
    ),
    ...changes,
  };
}

function decide(
  submission: Submission,
  changes: Partial<AdmissionContext> = {},
) {
  return decideAdmission(submission, {
    configuration: CONFIGURATION,
    queuedTasks: 0,
    teamTasksInFlight: 0,
    quotaShare: 1,
    remainingMilliseconds: 10_000,
    estimateDrain: () => IDLE,
    isCapableWorkerKnown: () => true,
    ...changes,
  });
}

function reasonOf(admission: ReturnType<typeof decide>) {
  return admission.kind === AdmissionKind.Refused
    ? admission.reason
    : undefined;
}

describe("decideAdmission", () => {
  test("admits a job of any length when the queue is empty", () => {
    expect(decide(submissionOf(220)).kind).toEqual(AdmissionKind.Admitted);
  });

  test("refuses a job that no known worker could run", () => {
    const admission = decide(submissionOf(1), {
      isCapableWorkerKnown: () => false,
    });
    expect(reasonOf(admission)).toEqual(NotRunReason.NoCapableWorker);
  });

  test("refuses unknown teams and kinds of work", () => {
    expect(reasonOf(decide(submissionOf(1, { team: "nobody" }))))
      .toEqual(NotRunReason.UnknownTeam);
    expect(reasonOf(decide(submissionOf(1, { kindOfWork: "none" }))))
      .toEqual(NotRunReason.UnknownKindOfWork);
  });

  test("enforces the owner's share of a team's quota", () => {
    const third = { quotaShare: 1 / 3 };
    expect(
      reasonOf(decide(submissionOf(1), { ...third, teamTasksInFlight: 99 })),
    )
      .toEqual(undefined);
    expect(
      reasonOf(decide(submissionOf(1), { ...third, teamTasksInFlight: 100 })),
    ).toEqual(NotRunReason.QuotaExceeded);
  });

  test("admits one job up to the whole quota for a team without tasks in flight", () => {
    const third = { quotaShare: 1 / 3 };
    expect(reasonOf(decide(submissionOf(220), third))).toEqual(undefined);
    expect(reasonOf(decide(submissionOf(301), third)))
      .toEqual(NotRunReason.QuotaExceeded);
  });

  test("enforces the team's quota and the owner's queue limit", () => {
    expect(reasonOf(decide(submissionOf(1), { teamTasksInFlight: 300 })))
      .toEqual(NotRunReason.QuotaExceeded);
    expect(reasonOf(decide(submissionOf(1), { queuedTasks: 1_000 })))
      .toEqual(NotRunReason.QueueFull);
  });

  test("admits a single task beside a large job, but no second large job", () => {
    const drain = { ...IDLE, waitingTasks: 200, waitingSubmissions: 1 };
    const context = { estimateDrain: () => drain };
    expect(decide(submissionOf(1), context).kind)
      .toEqual(AdmissionKind.Admitted);
    expect(reasonOf(decide(submissionOf(200), context)))
      .toEqual(NotRunReason.DeadlineUnreachable);
  });

  test("refuses a job for its team's share when only the whole fleet would be fast enough", () => {
    const drain = { ...IDLE, waitingTasks: 60, waitingSubmissions: 60 };
    const full = { estimateDrain: () => drain };
    expect(decide(submissionOf(1), full).kind).toEqual(AdmissionKind.Admitted);
    const shared = { estimateDrain: () => ({ ...drain, share: 0.25 }) };
    expect(reasonOf(decide(submissionOf(1), shared)))
      .toEqual(NotRunReason.ShareExceeded);
  });

  test("returns a retry time after which the same submission is admitted", () => {
    const counts = integer({ min: 1, max: 5_000 });
    assert(
      property(counts, (waiting) => {
        const drainAfter = (elapsed: number): DrainEstimate => {
          const drained = elapsed * IDLE.slots / IDLE.runMilliseconds;
          const count = Math.max(0, Math.floor(waiting - drained));
          return { ...IDLE, waitingTasks: count, waitingSubmissions: count };
        };
        const first = decide(submissionOf(1), {
          estimateDrain: () => drainAfter(0),
        });
        if (first.kind === AdmissionKind.Admitted) return;
        const elapsed = first.retryAfterMilliseconds ?? 0;
        const second = decide(submissionOf(1), {
          estimateDrain: () => drainAfter(elapsed),
        });
        expect(second.kind).toEqual(AdmissionKind.Admitted);
      }),
      { seed: 5 },
    );
  });
});
