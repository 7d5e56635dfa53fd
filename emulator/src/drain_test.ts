/**
 * Tests the drain in virtual time: a draining process starts no new work, interrupts no running task, and ends
 * even when other processes drain too or the log is unavailable.
 */
import { test } from "node:test";
import {
  type CallerAnswer,
  CallerAnswerKind,
  InputKind,
  type JobOutcome,
  JobOutcomeKind,
  LogRecordKind,
  type Milliseconds,
  OutputKind,
  PeerReplyKind,
  PeerRequestKind,
  RemovalReason,
  type SendReply,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { SAMPLE_CONFIGURATION, sampleSubmission } from "./sample_work.ts";
import { ProcessState, type VirtualProcess } from "./virtual_process.ts";
import { VirtualSystem } from "./virtual_system.ts";

const READY_MILLISECONDS: Milliseconds = 3_000;
const NO_NEW_WORK_MILLISECONDS: Milliseconds = 1_000;
const RUN_MILLISECONDS: Milliseconds = 400;
const JOBS = 24;
const MANY_JOBS = 120;

test("a drained owner hands over its shards and interrupts no task", () => {
  const harness = new DrainHarness(1);
  harness.submitJobs(JOBS);
  harness.advance(100);
  const owner = harness.owner();
  harness.drain([owner]);
  harness.advance(10_000);
  expect(owner.state).toEqual(ProcessState.Ended);
  expect(harness.outcomesOf(JobOutcomeKind.Completed)).toEqual(JOBS);
  expect(harness.system.starts.repeated()).toEqual([]);
  expect(harness.removalReasons()).toEqual([RemovalReason.Left]);
});

test("a draining process starts no task later than one second after the request", () => {
  const harness = new DrainHarness(2);
  harness.submitJobs(JOBS);
  harness.advance(50);
  const drained = harness.system.sidecars.slice(0, 2).map(({ process }) =>
    process
  );
  const drainedAt = harness.system.time.now;
  harness.drain(drained);
  for (let round = 0; round < 10; round += 1) {
    harness.submitJobs(JOBS);
    harness.advance(500);
  }
  harness.advance(10_000);
  const late = harness.starts.filter(({ process, at }) =>
    drained.some(({ identifier }) => identifier === process) &&
    at > drainedAt + NO_NEW_WORK_MILLISECONDS
  );
  expect(late).toEqual([]);
  expect(harness.answers.length).toEqual(JOBS * 11);
  expect(harness.system.starts.repeated()).toEqual([]);
});

test("processes that all drain together end, and report no started job as not run", () => {
  const harness = new DrainHarness(3);
  harness.submitJobs(JOBS);
  harness.advance(100);
  const all = harness.system.sidecars.map(({ process }) => process);
  harness.drain(all);
  harness.advance(6_000);
  expect(all.map(({ state }) => state)).toEqual(
    all.map(() => ProcessState.Ended),
  );
  harness.advance(60_000);
  expect(harness.answers.length).toEqual(JOBS);
  harness.expectNotRunMeansNoStart();
  expect(harness.system.starts.repeated()).toEqual([]);
});

test("a process without a successor finishes its jobs and ends", () => {
  const harness = new DrainHarness(4, 2);
  harness.submitJobs(4);
  harness.advance(50);
  const [first, second] = harness.system.sidecars.map(({ process }) => process);
  harness.drain([first, second].filter((process) => process !== undefined));
  harness.advance(6_000);
  expect(first?.state).toEqual(ProcessState.Ended);
  expect(second?.state).toEqual(ProcessState.Ended);
  expect(harness.outcomesOf(JobOutcomeKind.Completed)).toEqual(4);
});

test("a process ends its drain during an outage of the log", () => {
  const harness = new DrainHarness(5);
  harness.submitJobs(JOBS);
  harness.advance(100);
  harness.system.log.isUnavailable = true;
  harness.advance(1_000);
  harness.submitJobs(JOBS);
  harness.advance(50);
  const owner = harness.owner();
  harness.drain([owner]);
  harness.advance(6_000);
  expect(owner.state).toEqual(ProcessState.Ended);
  harness.system.log.isUnavailable = false;
  harness.advance(60_000);
  expect(harness.answers.length).toEqual(2 * JOBS);
  harness.expectNotRunMeansNoStart();
  expect(harness.system.starts.repeated()).toEqual([]);
});

test("shards are taken over when the log becomes unavailable during a handover", () => {
  const harness = new DrainHarness(6);
  harness.submitJobs(JOBS);
  harness.advance(100);
  const owner = harness.owner();
  harness.drain([owner]);
  harness.system.log.isUnavailable = true;
  harness.advance(8_000);
  expect(owner.state).toEqual(ProcessState.Ended);
  harness.system.log.isUnavailable = false;
  harness.advance(60_000);
  expect(harness.answers.length).toEqual(JOBS);
  harness.expectNotRunMeansNoStart();
  expect(harness.system.starts.repeated()).toEqual([]);
});

test("an owner whose successor drains too hands over to another one", () => {
  const harness = new DrainHarness(7);
  harness.submitJobs(JOBS);
  harness.advance(100);
  const [first, second] = harness.owners();
  if (first === undefined || second === undefined) throw new Error("no owners");
  harness.drain([second]);
  harness.drain([first]);
  harness.advance(15_000);
  expect(first.state).toEqual(ProcessState.Ended);
  expect(second.state).toEqual(ProcessState.Ended);
  expect(harness.outcomesOf(JobOutcomeKind.Completed)).toEqual(JOBS);
});

test("the start records of a drained runner survive the runner and an owner that is killed later", () => {
  const harness = new DrainHarness(8);
  harness.submitJobs(MANY_JOBS);
  harness.advance(10_000);
  const [owner] = harness.owners();
  const runner = harness.system.sidecars.map(({ process }) => process)
    .find((process) => !harness.owners().includes(process));
  if (owner === undefined || runner === undefined) throw new Error("missing");
  expect(harness.countStartsOn(runner)).toBeGreaterThan(0);
  harness.drain([runner]);
  harness.advance(3_000);
  owner.kill();
  harness.advance(10_000);
  harness.resubmitJobs(MANY_JOBS);
  harness.advance(20_000);
  expect(harness.outcomesOf(JobOutcomeKind.Completed)).toEqual(2 * MANY_JOBS);
  expect(harness.system.starts.repeated()).toEqual([]);
});

test("a draining process refuses shards and records from others", () => {
  const harness = new DrainHarness(9);
  harness.submitJobs(JOBS);
  const owner = harness.owner();
  const peer = harness.system.entries[0]?.identifier;
  if (peer === undefined) throw new Error("no entry");
  harness.drain([owner]);
  const kind = InputKind.PeerRequestArrived;
  owner.receive({
    kind,
    from: peer,
    request: 1_000_001,
    message: { kind: PeerRequestKind.HandOverShards, shards: [], answers: [] },
  });
  owner.receive({
    kind,
    from: peer,
    request: 1_000_002,
    message: { kind: PeerRequestKind.HandOverRecords, records: [] },
  });
  expect(harness.repliesTo([1_000_001, 1_000_002])).toEqual([
    PeerReplyKind.HandoverRefused,
    PeerReplyKind.HandoverRefused,
  ]);
});

interface Start {
  readonly process: string;
  readonly at: Milliseconds;
}

interface Answer {
  readonly submission: string;
  readonly outcome: JobOutcome;
}

class DrainHarness {
  readonly system: VirtualSystem;
  readonly starts: Start[] = [];
  readonly answers: Answer[] = [];
  readonly #replies: SendReply[] = [];
  #submitted = 0;

  constructor(seed: number, sidecars = 6) {
    this.system = new VirtualSystem({
      seed,
      entries: 2,
      sidecars,
      slots: 4,
      owners: 2,
      shards: 8,
      configuration: SAMPLE_CONFIGURATION,
      delayMilliseconds: 1,
      onOutput: (process, output) => {
        if (output.kind === OutputKind.SendReply) this.#replies.push(output);
        if (output.kind !== OutputKind.ExecuteTask) return;
        this.starts.push({ process, at: this.system.time.now });
      },
    });
    this.system.time.runUntil(READY_MILLISECONDS);
  }

  advance(milliseconds: Milliseconds): void {
    this.system.time.runUntil(this.system.time.now + milliseconds);
  }

  submitJobs(count: number): void {
    for (let index = 0; index < count; index += 1) {
      this.#submit(this.#submitted);
      this.#submitted += 1;
    }
  }

  resubmitJobs(count: number): void {
    for (let index = 0; index < count; index += 1) this.#submit(index);
  }

  drain(processes: readonly VirtualProcess[]): void {
    for (const process of processes) {
      process.receive({ kind: InputKind.DrainRequested });
    }
  }

  /** Returns the sidecars that own a shard according to the log. */
  owners(): readonly VirtualProcess[] {
    const owners = new Map<number, string>();
    for (const { record } of this.system.log.records) {
      if (record.kind !== LogRecordKind.ShardsClaimed) continue;
      for (const { shard } of record.claims) owners.set(shard, record.claimant);
    }
    const names = new Set(owners.values());
    return this.system.sidecars.map(({ process }) => process)
      .filter(({ identifier }) => names.has(identifier));
  }

  owner(): VirtualProcess {
    const [owner] = this.owners();
    if (owner === undefined) throw new Error("no sidecar owns a shard");
    return owner;
  }

  countStartsOn({ identifier }: VirtualProcess): number {
    return this.starts.filter(({ process }) => process === identifier).length;
  }

  repliesTo(requests: readonly number[]): readonly PeerReplyKind[] {
    return this.#replies
      .filter(({ request }) => requests.includes(request))
      .map(({ message }) => message.kind);
  }

  removalReasons(): readonly RemovalReason[] {
    return this.system.log.records.flatMap(({ record }) =>
      record.kind === LogRecordKind.MemberRemoved ? [record.reason] : []
    );
  }

  outcomesOf(kind: JobOutcomeKind): number {
    return this.answers.filter(({ outcome }) => outcome.kind === kind).length;
  }

  expectNotRunMeansNoStart(): void {
    const contradicted = this.answers.filter(({ submission, outcome }) =>
      outcome.kind === JobOutcomeKind.NotRun &&
      this.system.starts.countStartedTasks(submission) > 0
    );
    expect(contradicted).toEqual([]);
  }

  #submit(index: number): void {
    const key = `job-${index}`;
    const entry = this.system.entries[index % 2];
    if (entry === undefined) throw new Error("no entry");
    const submission = sampleSubmission({
      key,
      runMilliseconds: [RUN_MILLISECONDS, RUN_MILLISECONDS / 2],
      deadlineMilliseconds: 30_000,
    });
    this.system.submit(entry, submission, (answer) => {
      this.#recordAnswer(`assessors/${key}`, answer);
    });
  }

  #recordAnswer(submission: string, answer: CallerAnswer): void {
    if (answer.kind !== CallerAnswerKind.Outcome) {
      throw new Error(`${submission} was answered with ${answer.kind}`);
    }
    this.answers.push({ submission, outcome: answer.outcome });
  }
}
