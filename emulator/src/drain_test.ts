/**
 * Leaving in virtual time: no new work, nothing cut off, and an end whatever the others and the log do.
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

test("a drained owner hands over and cuts nothing off", () => {
  const trial = new DrainHarness(1);
  trial.submitJobs(JOBS);
  trial.advance(100);
  const owner = trial.owner();
  trial.drain([owner]);
  trial.advance(10_000);
  expect(owner.state).toEqual(ProcessState.Ended);
  expect(trial.outcomesOf(JobOutcomeKind.Completed)).toEqual(JOBS);
  expect(trial.system.starts.repeated()).toEqual([]);
  expect(trial.removalReasons()).toEqual([RemovalReason.Left]);
});

test("a drained process starts nothing after one second, whoever it is", () => {
  const trial = new DrainHarness(2);
  trial.submitJobs(JOBS);
  trial.advance(50);
  const drained = trial.system.sidecars.slice(0, 2).map(({ process }) =>
    process
  );
  const drainedAt = trial.system.time.now;
  trial.drain(drained);
  for (let round = 0; round < 10; round += 1) {
    trial.submitJobs(JOBS);
    trial.advance(500);
  }
  trial.advance(10_000);
  const late = trial.starts.filter(({ process, at }) =>
    drained.some(({ identifier }) => identifier === process) &&
    at > drainedAt + NO_NEW_WORK_MILLISECONDS
  );
  expect(late).toEqual([]);
  expect(trial.answers.length).toEqual(JOBS * 11);
  expect(trial.system.starts.repeated()).toEqual([]);
});

test("processes that all leave at once all end, and say truly what ran", () => {
  const trial = new DrainHarness(3);
  trial.submitJobs(JOBS);
  trial.advance(100);
  const all = trial.system.sidecars.map(({ process }) => process);
  trial.drain(all);
  trial.advance(6_000);
  expect(all.map(({ state }) => state)).toEqual(
    all.map(() => ProcessState.Ended),
  );
  trial.advance(60_000);
  expect(trial.answers.length).toEqual(JOBS);
  trial.expectNotRunIsTrue();
  expect(trial.system.starts.repeated()).toEqual([]);
});

test("without a successor a process finishes its own jobs and goes", () => {
  const trial = new DrainHarness(4, 2);
  trial.submitJobs(4);
  trial.advance(50);
  const [first, second] = trial.system.sidecars.map(({ process }) => process);
  trial.drain([first, second].filter((process) => process !== undefined));
  trial.advance(6_000);
  expect(first?.state).toEqual(ProcessState.Ended);
  expect(second?.state).toEqual(ProcessState.Ended);
  expect(trial.outcomesOf(JobOutcomeKind.Completed)).toEqual(4);
});

test("an outage of the log does not keep a process from leaving", () => {
  const trial = new DrainHarness(5);
  trial.submitJobs(JOBS);
  trial.advance(100);
  trial.system.log.isAway = true;
  trial.advance(1_000);
  trial.submitJobs(JOBS);
  trial.advance(50);
  const owner = trial.owner();
  trial.drain([owner]);
  trial.advance(6_000);
  expect(owner.state).toEqual(ProcessState.Ended);
  trial.system.log.isAway = false;
  trial.advance(60_000);
  expect(trial.answers.length).toEqual(2 * JOBS);
  trial.expectNotRunIsTrue();
  expect(trial.system.starts.repeated()).toEqual([]);
});

test("a log that goes away during the hand-over leaves the shards to a takeover", () => {
  const trial = new DrainHarness(6);
  trial.submitJobs(JOBS);
  trial.advance(100);
  const owner = trial.owner();
  trial.drain([owner]);
  trial.system.log.isAway = true;
  trial.advance(8_000);
  expect(owner.state).toEqual(ProcessState.Ended);
  trial.system.log.isAway = false;
  trial.advance(60_000);
  expect(trial.answers.length).toEqual(JOBS);
  trial.expectNotRunIsTrue();
  expect(trial.system.starts.repeated()).toEqual([]);
});

test("a successor that leaves meanwhile is passed over for another", () => {
  const trial = new DrainHarness(7);
  trial.submitJobs(JOBS);
  trial.advance(100);
  const [first, second] = trial.owners();
  if (first === undefined || second === undefined) throw new Error("no owners");
  trial.drain([second]);
  trial.drain([first]);
  trial.advance(15_000);
  expect(first.state).toEqual(ProcessState.Ended);
  expect(second.state).toEqual(ProcessState.Ended);
  expect(trial.outcomesOf(JobOutcomeKind.Completed)).toEqual(JOBS);
});

test("the start records of a drained runner outlive it and a later owner", () => {
  const trial = new DrainHarness(8);
  trial.submitJobs(MANY_JOBS);
  trial.advance(10_000);
  const [owner] = trial.owners();
  const runner = trial.system.sidecars.map(({ process }) => process)
    .find((process) => !trial.owners().includes(process));
  if (owner === undefined || runner === undefined) throw new Error("none");
  expect(trial.startsAt(runner)).toBeGreaterThan(0);
  trial.drain([runner]);
  trial.advance(3_000);
  owner.kill();
  trial.advance(10_000);
  trial.resubmitJobs(MANY_JOBS);
  trial.advance(20_000);
  expect(trial.outcomesOf(JobOutcomeKind.Completed)).toEqual(2 * MANY_JOBS);
  expect(trial.system.starts.repeated()).toEqual([]);
});

test("a leaving process takes neither shards nor records", () => {
  const trial = new DrainHarness(9);
  trial.submitJobs(JOBS);
  const owner = trial.owner();
  const asker = trial.system.entries[0]?.identifier;
  if (asker === undefined) throw new Error("no entry");
  trial.drain([owner]);
  const kind = InputKind.PeerRequestArrived;
  owner.receive({
    kind,
    from: asker,
    request: 1_000_001,
    message: { kind: PeerRequestKind.HandOverShards, shards: [], answers: [] },
  });
  owner.receive({
    kind,
    from: asker,
    request: 1_000_002,
    message: { kind: PeerRequestKind.HandOverRecords, records: [] },
  });
  expect(trial.repliesTo([1_000_001, 1_000_002])).toEqual([
    PeerReplyKind.HandOverRefused,
    PeerReplyKind.HandOverRefused,
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

  /** Sidecars that the log last named as owners. */
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
    if (owner === undefined) throw new Error("nobody owns a shard");
    return owner;
  }

  startsAt({ identifier }: VirtualProcess): number {
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

  expectNotRunIsTrue(): void {
    const untrue = this.answers.filter(({ submission, outcome }) =>
      outcome.kind === JobOutcomeKind.NotRun &&
      this.system.starts.startedOf(submission) > 0
    );
    expect(untrue).toEqual([]);
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
      this.#note(`assessors/${key}`, answer);
    });
  }

  #note(submission: string, answer: CallerAnswer): void {
    if (answer.kind !== CallerAnswerKind.Outcome) {
      throw new Error(`${submission} was answered with ${answer.kind}`);
    }
    this.answers.push({ submission, outcome: answer.outcome });
  }
}
