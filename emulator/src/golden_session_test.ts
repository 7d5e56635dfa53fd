/**
 * Compares recorded sessions with golden files byte for byte. Set `UPDATE_GOLDEN=1` to rewrite the files
 * after a change that changes a session on purpose.
 */
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { test } from "node:test";
import {
  Idempotence,
  identifySubmission,
  InputKind,
  LogRecordKind,
  type Submission,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { shardOf } from "@eelgrassfront/ownership";
import { RecordedSession, SESSION_SHARDS } from "./recorded_session.ts";
import { SAMPLE_CONFIGURATION, sampleSubmission } from "./sample_work.ts";
import type { VirtualSidecar, VirtualSystem } from "./virtual_system.ts";

test("a submission with resubmissions through another entry runs as recorded, each task once", () => {
  const session = new RecordedSession();
  const { system } = session;
  session.startRecording();
  const submission = sampleSubmission({
    key: "golden",
    runMilliseconds: [50, 80, 50],
  });
  session.submit(0, submission);
  session.advance(20);
  session.submit(1, submission);
  session.advance(980);
  session.submit(1, submission);
  session.advance(100);
  expect(system.starts.total()).toEqual(3);
  expectGolden("submit_resubmit_answer", session.lines);
});

test("a takeover from a killed owner runs as recorded, the task once", () => {
  const session = new RecordedSession();
  const { system } = session;
  session.startRecording();
  const submission = sampleSubmission({
    key: "taken-over",
    runMilliseconds: [6_000],
  });
  session.submit(0, submission);
  session.advance(20);
  session.recordTestStep("kills the owner");
  system.kill(ownerOf(system, submission).process);
  session.advance(8_000);
  expect(system.starts.total()).toEqual(1);
  expectGolden("takeover", session.lines);
});

test("a drain of an owner with a running job runs as recorded, each task once", () => {
  const session = new RecordedSession();
  const { system } = session;
  session.startRecording();
  const submission = sampleSubmission({
    key: "drained",
    runMilliseconds: [1_500, 100],
  });
  session.submit(0, submission);
  session.advance(20);
  session.recordTestStep("drains the owner");
  ownerOf(system, submission).process.receive({
    kind: InputKind.DrainRequested,
  });
  session.advance(4_000);
  expect(system.starts.total()).toEqual(2);
  expectGolden("drain", session.lines);
});

test("a lost answer of non-idempotent work gives the outcome unknown, also on resubmission", () => {
  const session = new RecordedSession();
  const { system } = session;
  session.startRecording();
  for (const { backendServer } of system.sidecars) {
    backendServer.answerLossProbability = 1;
  }
  const submission = sampleSubmission({
    key: "charge",
    runMilliseconds: [50],
    idempotence: Idempotence.NonIdempotent,
  });
  session.submit(0, submission);
  session.advance(500);
  session.submit(1, submission);
  session.advance(500);
  expect(system.starts.total()).toEqual(1);
  expectGolden("lost_answer", session.lines);
});

test("of two concurrent publications the first in the log wins", () => {
  const session = new RecordedSession();
  const { system } = session;
  session.startRecording();
  for (const operator of ["first", "second"]) {
    system.log.append(
      0,
      {
        kind: LogRecordKind.ConfigurationPublished,
        publication: `publication of the ${operator} operator`,
        replaces: 1,
        publishedBy: operator,
        configuration: SAMPLE_CONFIGURATION,
      },
      () => session.recordTestStep(`the ${operator} operator's append settled`),
    );
  }
  session.advance(200);
  expectGolden("operators_race", session.lines);
});

/** Returns the sidecar that owns the shard of a submission. */
function ownerOf(
  system: VirtualSystem,
  submission: Submission,
): VirtualSidecar {
  const shard = shardOf(identifySubmission(submission), SESSION_SHARDS);
  const claim = system.log.records.findLast(({ record }) =>
    record.kind === LogRecordKind.ShardsClaimed &&
    record.claims.some((claimed) => claimed.shard === shard)
  );
  const owner = claim?.record.kind === LogRecordKind.ShardsClaimed
    ? claim.record.claimant
    : undefined;
  const sidecar = system.sidecars.find(({ process }) =>
    process.identifier === owner
  );
  if (sidecar === undefined) throw new Error("no sidecar owns the shard");
  return sidecar;
}

function expectGolden(name: string, lines: readonly string[]): void {
  const file = new URL(`../golden/${name}.txt`, import.meta.url);
  const text = `${lines.join("\n")}\n`;
  if (process.env["UPDATE_GOLDEN"] === "1") writeFileSync(file, text);
  expect(existsSync(file)).toEqual(true);
  expect(text).toEqual(readFileSync(file, "utf8"));
}
