/**
 * Tests takeovers after an owner is killed. The owner's runner ends with it. An owner assigns no task to its
 * own runner, so every start is still known from the other runners.
 */
import { test } from "node:test";
import {
  type CallerAnswer,
  CallerAnswerKind,
  JobOutcomeKind,
  LogRecordKind,
  type Milliseconds,
  UnknownReason,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { SAMPLE_CONFIGURATION, sampleSubmission } from "./sample_work.ts";
import { ProcessState } from "./virtual_process.ts";
import { VirtualSystem } from "./virtual_system.ts";

const READY_MILLISECONDS: Milliseconds = 3_000;
const JOBS_BEFORE = 40;
const JOBS_DURING_TAKEOVER = 80;
const SUBMISSION_INTERVAL_MILLISECONDS: Milliseconds = 25;

test("no outcome is unknown for lack of start records after the first owner is killed", () => {
  const harness = new TakeoverHarness(1);
  harness.submitJobs(JOBS_BEFORE);
  harness.killOwner();
  harness.submitJobs(JOBS_DURING_TAKEOVER);
  harness.resubmitAll();
  harness.expectAllStartsKnown();
});

test("no task starts twice when several owners are killed in a row", () => {
  const harness = new TakeoverHarness(3);
  for (let round = 0; round < 3; round += 1) {
    harness.submitJobs(JOBS_BEFORE);
    harness.killOwner();
    harness.submitJobs(JOBS_BEFORE);
    harness.resubmitAll();
  }
  expect(harness.system.starts.repeated()).toEqual([]);
});

class TakeoverHarness {
  readonly system: VirtualSystem;
  readonly #epochTokens: number[] = [];
  readonly #outcomes: string[] = [];
  #newestEpochToken = 0;

  constructor(seed: number) {
    this.system = new VirtualSystem({
      seed,
      entries: 2,
      sidecars: 7,
      slots: 4,
      owners: 2,
      shards: 8,
      configuration: SAMPLE_CONFIGURATION,
      delayMilliseconds: 1,
    });
    this.system.time.runUntil(READY_MILLISECONDS);
  }

  advance(milliseconds: Milliseconds): void {
    this.system.time.runUntil(this.system.time.now + milliseconds);
  }

  submitJobs(count: number): void {
    for (let index = 0; index < count; index += 1) {
      this.#epochTokens.push(this.#newestEpochToken);
      this.#submit(this.#epochTokens.length - 1);
      this.advance(SUBMISSION_INTERVAL_MILLISECONDS);
    }
  }

  resubmitAll(): void {
    this.advance(10_000);
    for (let job = 0; job < this.#epochTokens.length; job += 1) {
      this.#submit(job);
    }
    this.advance(20_000);
  }

  /** Kills the sidecar that owns shard 0, with its runner. */
  killOwner(): void {
    const owners = new Map<number, string>();
    for (const { record } of this.system.log.records) {
      if (record.kind !== LogRecordKind.ShardsClaimed) continue;
      for (const { shard } of record.claims) owners.set(shard, record.claimant);
    }
    const owner = this.system.sidecars.map(({ process }) => process).find(
      ({ identifier, state }) =>
        state === ProcessState.Running && owners.get(0) === identifier,
    );
    if (owner === undefined) throw new Error("no running sidecar owns shard 0");
    owner.kill();
  }

  /** Asserts that no task started twice and that no outcome is unknown for lack of start records. */
  expectAllStartsKnown(): void {
    expect(this.system.starts.repeated()).toEqual([]);
    expect(this.#outcomes.length).toBeGreaterThan(0);
    expect(this.#outcomes).not.toInclude(UnknownReason.StartRecordsMissing);
  }

  #submit(job: number): void {
    const entry = this.system.entries[job % 2];
    const firstMadeAtEpoch = this.#epochTokens[job] ?? 0;
    if (entry === undefined) throw new Error("no entry");
    const submission = {
      ...sampleSubmission({ key: `job-${job}`, runMilliseconds: [60, 30] }),
      firstMadeAtEpoch,
    };
    this.system.submit(entry, submission, (answer, token) => {
      this.#newestEpochToken = Math.max(this.#newestEpochToken, token);
      this.#outcomes.push(describe(answer));
    });
  }
}

function describe(answer: CallerAnswer): string {
  if (answer.kind !== CallerAnswerKind.Outcome) return answer.kind;
  const { outcome } = answer;
  return outcome.kind === JobOutcomeKind.Unknown
    ? outcome.reason
    : outcome.kind;
}
