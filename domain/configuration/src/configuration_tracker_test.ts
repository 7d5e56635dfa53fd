/**
 * Races, retries, retention and peers: every reader ends with the version that the complete log
 * gives.
 */
import { test } from "node:test";
import {
  type Configuration,
  type ConfigurationPublished,
  type ConfigurationVersion,
  type LogOffset,
  LogRecordKind,
} from "@eelgrassfront/model";
import { expect } from "earl";
import * as fastCheck from "fast-check";
import {
  ConfigurationTracker,
  PublicationVerdict,
} from "./configuration_tracker.ts";

const SEED = 4;
const RUNS = 2_000;
const FIRST_OFFSET = 1;

test("of two racing operators the first in the log wins", () => {
  const tracker = new ConfigurationTracker();
  tracker.apply(1, publication("first", 0));
  expect(tracker.apply(2, publication("left", 1)).verdict).toEqual(
    PublicationVerdict.Accepted,
  );
  expect(tracker.apply(3, publication("right", 1))).toEqual({
    verdict: PublicationVerdict.Rejected,
    publication: "right",
    offset: 3,
    rejectedBy: 2,
  });
  expect(tracker.current?.publication).toEqual("left");
});

test("a retry after a lost answer changes nothing, also after a later version", () => {
  const tracker = new ConfigurationTracker();
  tracker.apply(1, publication("first", 0));
  expect(tracker.apply(2, publication("first", 0)).verdict).toEqual(
    PublicationVerdict.Repeated,
  );
  tracker.apply(3, publication("second", 1));
  expect(tracker.apply(4, publication("first", 0)).verdict).toEqual(
    PublicationVerdict.Rejected,
  );
  expect(tracker.current?.offset).toEqual(3);
});

test("a reader without older records evaluates publications after a refresh", () => {
  const tracker = new ConfigurationTracker();
  tracker.markMissingBefore(5);
  expect(tracker.apply(5, publication("third", 4)).verdict).toEqual(
    PublicationVerdict.Undecided,
  );
  expect(tracker.current).toEqual(undefined);
  const verdict = tracker.apply(6, refresh(version(4, "second"), 5)).verdict;
  expect(verdict).toEqual(PublicationVerdict.Accepted);
  expect(tracker.current?.offset).toEqual(5);
});

test("a refresh by a lagging process does not revert a newer version", () => {
  const tracker = new ConfigurationTracker();
  tracker.markMissingBefore(5);
  tracker.apply(5, refresh(version(2, "first"), 3));
  expect(tracker.canEvaluate).toEqual(false);
  expect(tracker.apply(6, publication("third", 4)).verdict).toEqual(
    PublicationVerdict.Undecided,
  );
  tracker.adopt(version(4, "second"), 6);
  expect(tracker.current?.offset).toEqual(6);
});

test("a late reader can evaluate a publication whose publisher had read far enough", () => {
  const tracker = new ConfigurationTracker();
  tracker.markMissingBefore(5);
  const record = { ...publication("third", 2), readTo: 5 };
  expect(tracker.apply(5, record).verdict).toEqual(PublicationVerdict.Accepted);
});

test("every reader ends with the same version, whichever records it missed", () => {
  fastCheck.assert(
    fastCheck.property(
      logOperations(),
      fastCheck.array(readerPlan(), { minLength: 1 }),
      checkReaders,
    ),
    { seed: SEED, numRuns: RUNS },
  );
});

type LogOperation =
  | {
    readonly kind: "publish";
    readonly lag: number;
    readonly hasReadTo: boolean;
  }
  | { readonly kind: "retry"; readonly back: number }
  | { readonly kind: "refresh"; readonly lag: number };

interface ReaderPlan {
  /** Number of records that retention dropped before the reader began. */
  readonly start: number;
  /** Offset at which a restart or a gap skips records, and the number of skipped records. */
  readonly gapAt: number;
  readonly gap: number;
  /** Offset at which the reader queries a peer, and the offset up to which the peer has read. */
  readonly queriedAt: number;
  readonly peerReadTo: number;
}

function logOperations(): fastCheck.Arbitrary<readonly LogOperation[]> {
  const lag = fastCheck.integer({ min: 0, max: 4 });
  return fastCheck.array(
    fastCheck.oneof(
      fastCheck.record({
        kind: fastCheck.constant("publish"),
        lag,
        hasReadTo: fastCheck.boolean(),
      }),
      fastCheck.record({
        kind: fastCheck.constant("retry"),
        back: fastCheck.integer({ min: 1, max: 6 }),
      }),
      fastCheck.record({ kind: fastCheck.constant("refresh"), lag }),
    ) as fastCheck.Arbitrary<LogOperation>,
    { minLength: 2, maxLength: 25 },
  );
}

function readerPlan(): fastCheck.Arbitrary<ReaderPlan> {
  const point = fastCheck.integer({ min: 0, max: 25 });
  return fastCheck.record({
    start: point,
    gapAt: point,
    gap: fastCheck.integer({ min: 0, max: 5 }),
    queriedAt: point,
    peerReadTo: point,
  });
}

function checkReaders(
  operations: readonly LogOperation[],
  plans: readonly ReaderPlan[],
): void {
  const log = writeLog(operations);
  const last = inForceAt(log, log.length + FIRST_OFFSET);
  for (const plan of plans) {
    const reader = new ConfigurationTracker();
    const seen = read(reader, log, plan);
    expect(seen).toEqual([...seen].sort((left, right) => left - right));
    if (last === undefined) continue;
    reader.adopt(last, log.length + FIRST_OFFSET);
    expect(reader.current?.offset).toEqual(last.offset);
  }
}

/** Reads the log as planned and returns the versions that were in force, in reading order. */
function read(
  reader: ConfigurationTracker,
  log: readonly ConfigurationPublished[],
  plan: ReaderPlan,
): readonly LogOffset[] {
  const seen: LogOffset[] = [];
  let offset = FIRST_OFFSET + Math.min(plan.start, log.length);
  if (offset > FIRST_OFFSET) reader.markMissingBefore(offset);
  while (offset <= log.length) {
    if (offset === plan.gapAt && plan.gap > 0) {
      offset += plan.gap;
      reader.markMissingBefore(offset);
    }
    if (offset === plan.queriedAt) queryPeer(reader, log, plan.peerReadTo);
    const record = log[offset - FIRST_OFFSET];
    if (record === undefined) break;
    reader.apply(offset, record);
    offset += 1;
    if (reader.current !== undefined) seen.push(reader.current.offset);
    expectAgreement(reader, log, offset);
  }
  return seen;
}

/**
 * The version of a reader that can evaluate publications is never older than the version that the
 * complete log gives, and was in force at some offset.
 */
function expectAgreement(
  reader: ConfigurationTracker,
  log: readonly ConfigurationPublished[],
  readTo: LogOffset,
): void {
  if (!reader.canEvaluate) return;
  const expected = inForceAt(log, readTo)?.offset ?? 0;
  const found = reader.current?.offset ?? 0;
  if (found === expected) return;
  const everInForce = log.map((_, index) =>
    inForceAt(log, index + FIRST_OFFSET + 1)?.offset
  );
  expect(found > expected && everInForce.includes(found)).toEqual(true);
}

function queryPeer(
  reader: ConfigurationTracker,
  log: readonly ConfigurationPublished[],
  peerReadTo: LogOffset,
): void {
  const known = inForceAt(log, peerReadTo);
  if (known !== undefined) reader.adopt(known, peerReadTo);
}

function writeLog(
  operations: readonly LogOperation[],
): readonly ConfigurationPublished[] {
  const log: ConfigurationPublished[] = [];
  for (const operation of operations) log.push(recordOf(operation, log));
  return log;
}

function recordOf(
  operation: LogOperation,
  log: readonly ConfigurationPublished[],
): ConfigurationPublished {
  const end = log.length + FIRST_OFFSET;
  switch (operation.kind) {
    case "retry":
      return log[Math.max(0, log.length - operation.back)] ??
        publication(`p${end}`, 0);
    case "refresh": {
      const readTo = Math.max(FIRST_OFFSET, end - operation.lag);
      const known = inForceAt(log, readTo);
      return known === undefined
        ? publication(`p${end}`, 0)
        : refresh(known, readTo);
    }
    case "publish": {
      const readTo = Math.max(FIRST_OFFSET, end - operation.lag);
      const replaces = inForceAt(log, readTo)?.offset ?? 0;
      const record = publication(`p${end}`, replaces);
      return operation.hasReadTo ? { ...record, readTo } : record;
    }
  }
}

/**
 * Returns the version in force after the records below an offset, by the rule for complete logs.
 */
function inForceAt(
  log: readonly ConfigurationPublished[],
  readTo: LogOffset,
): ConfigurationVersion | undefined {
  let inForce: ConfigurationVersion | undefined;
  log.slice(0, Math.max(0, readTo - FIRST_OFFSET)).forEach((record, index) => {
    const isAccepted = record.firstOffset === undefined &&
      record.replaces === (inForce?.offset ?? 0) &&
      record.publication !== inForce?.publication;
    if (isAccepted) {
      inForce = version(index + FIRST_OFFSET, record.publication);
    }
  });
  return inForce;
}

function publication(
  name: string,
  replaces: LogOffset,
): ConfigurationPublished {
  return {
    kind: LogRecordKind.ConfigurationPublished,
    publication: name,
    replaces,
    publishedBy: "operator",
    configuration: CONFIGURATION,
  };
}

function refresh(
  current: ConfigurationVersion,
  readTo: LogOffset,
): ConfigurationPublished {
  return {
    ...publication(current.publication, 0),
    firstOffset: current.offset,
    readTo,
  };
}

function version(offset: LogOffset, name: string): ConfigurationVersion {
  return {
    offset,
    publication: name,
    publishedBy: "operator",
    configuration: CONFIGURATION,
  };
}

const CONFIGURATION: Configuration = {
  kindsOfWork: [],
  teams: [],
  limits: { maximumTasksPerJob: 1, retryBudget: 0, maximumQueuedTasks: 1 },
};
