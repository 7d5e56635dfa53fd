/**
 * The configuration and the records that carry the fleet, through races, outages, restarts and the
 * log's retention.
 */
import { test } from "node:test";
import { DEFAULT_TIMING } from "@eelgrassfront/membership";
import {
  type CallerAnswer,
  CallerAnswerKind,
  ClaimReason,
  EventNumber,
  JobOutcomeKind,
  type LogOffset,
  LogRecordKind,
  type Milliseconds,
  OutputKind,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { SAMPLE_CONFIGURATION, sampleSubmission } from "./sample_work.ts";
import { VirtualSystem } from "./virtual_system.ts";

const RETENTION_MILLISECONDS: Milliseconds = 20_000;
const RETENTION_STEP_MILLISECONDS: Milliseconds = 500;
const IN_FORCE_MILLISECONDS: Milliseconds = 5_000;
const SIDECARS = 5;
const ENTRIES = 2;

test("racing operators: one version is in force everywhere within 5 s", () => {
  const trial = new ConfigurationHarness(1);
  trial.advance(2_000);
  trial.publish("left", 1);
  trial.publish("right", 1);
  trial.advance(IN_FORCE_MILLISECONDS);
  const [winner] = trial.publishedOffsets("left");
  expect(trial.versions()).toEqual(new Set([winner]));
  trial.expectNoReversal();
});

test("a process that starts during an outage takes what its peers know and says so", () => {
  const trial = new ConfigurationHarness(2);
  trial.advance(2_000);
  trial.publish("second", 1);
  trial.advance(1_000);
  trial.system.log.isAway = true;
  trial.advance(1_000);
  trial.system.entries[0]?.kill();
  trial.system.startEntry(0);
  trial.advance(IN_FORCE_MILLISECONDS);
  const [second] = trial.publishedOffsets("second");
  const started = trial.system.entries[0]?.identifier ?? "";
  expect(trial.versionOf(started)).toEqual(second);
  expect(trial.eventsOf(started)).toInclude(
    EventNumber.ConfigurationLearntFromPeer,
  );
});

test("retention, restarts and outages revert nothing and move no shard", () => {
  const trial = new ConfigurationHarness(3);
  trial.advance(2_000);
  trial.publish("second", 1);
  trial.advance(3 * RETENTION_MILLISECONDS);
  trial.expectRecordsRetained();
  const claims = trial.claims();
  trial.restartEveryEntry();
  trial.advance(5_000);
  const [second] = trial.publishedOffsets("second");
  expect(trial.versions()).toEqual(new Set([second]));
  expect(trial.claims()).toEqual(claims);
  expect(trial.runJobs(10)).toEqual(10);
  trial.expectNoReversal();
});

test("an outage longer than the retention loses no configuration", () => {
  const trial = new ConfigurationHarness(4);
  trial.advance(2_000);
  trial.publish("second", 1);
  trial.advance(2_000);
  trial.system.log.isAway = true;
  trial.advance(2 * RETENTION_MILLISECONDS);
  trial.system.log.isAway = false;
  trial.advance(10_000);
  trial.restartEveryEntry();
  trial.advance(RETENTION_MILLISECONDS);
  const [second] = trial.publishedOffsets("second");
  expect(trial.versions()).toEqual(new Set([second]));
  expect(trial.runJobs(10)).toEqual(10);
  trial.expectNoReversal();
});

test("a fleet whose records were all dropped claims its shards again", () => {
  const trial = new ConfigurationHarness(5);
  trial.advance(3_000);
  for (const { process } of trial.system.sidecars) process.kill();
  trial.advance(2 * RETENTION_MILLISECONDS);
  for (let index = 0; index < SIDECARS; index += 1) {
    trial.system.startSidecar(index);
  }
  trial.advance(20_000);
  expect(trial.runJobs(10)).toEqual(10);
});

test("refreshes are few: one record a process and one of the configuration", () => {
  const trial = new ConfigurationHarness(6);
  trial.advance(5_000);
  const before = trial.system.log.records.length;
  trial.advance(RETENTION_MILLISECONDS);
  const refreshes = trial.system.log.records.length - before;
  // Each of them recurs after 0.4 to 0.6 of the retention, so at most three times in it.
  const sources = SIDECARS + ENTRIES + trial.owners() + 1;
  expect(refreshes).toBeLessThanOrEqual(3 * sources);
});

class ConfigurationHarness {
  readonly system: VirtualSystem;
  readonly #versions = new Map<string, LogOffset[]>();
  readonly #events = new Map<string, EventNumber[]>();
  #jobs = 0;

  constructor(seed: number) {
    this.system = new VirtualSystem({
      seed,
      entries: ENTRIES,
      sidecars: SIDECARS,
      slots: 4,
      owners: 2,
      shards: 8,
      configuration: SAMPLE_CONFIGURATION,
      delayMilliseconds: 1,
      timing: {
        ...DEFAULT_TIMING,
        retentionMilliseconds: RETENTION_MILLISECONDS,
      },
      onOutput: (process, output) => {
        if (output.kind !== OutputKind.ApplyConfiguration) return;
        const versions = this.#versions.get(process) ?? [];
        versions.push(output.version.offset);
        this.#versions.set(process, versions);
      },
      onEvent: (process, event) => {
        const events = this.#events.get(process) ?? [];
        events.push(event.number);
        this.#events.set(process, events);
      },
    });
  }

  /** Lets time pass, while the log drops what is older than the retention. */
  advance(milliseconds: Milliseconds): void {
    const { time, log } = this.system;
    const end = time.now + milliseconds;
    while (time.now < end) {
      time.runUntil(Math.min(end, time.now + RETENTION_STEP_MILLISECONDS));
      const isKept = log.records.find(({ appendedAt }) =>
        appendedAt > time.now - RETENTION_MILLISECONDS
      );
      log.dropBefore(isKept?.offset ?? log.records.length + 1);
    }
  }

  publish(publication: string, replaces: LogOffset): void {
    this.system.log.append(0, {
      kind: LogRecordKind.ConfigurationPublished,
      publication,
      replaces,
      publishedBy: "operator",
      configuration: SAMPLE_CONFIGURATION,
    }, () => {});
  }

  publishedOffsets(publication: string): readonly LogOffset[] {
    return this.system.log.records
      .filter(({ record }) =>
        record.kind === LogRecordKind.ConfigurationPublished &&
        record.publication === publication
      )
      .map(({ offset }) => offset);
  }

  /** The versions in force in the processes that run now. */
  versions(): ReadonlySet<LogOffset | undefined> {
    const { sidecars, entries } = this.system;
    const running = [...sidecars.map(({ process }) => process), ...entries];
    return new Set(
      running.map(({ identifier }) => this.versionOf(identifier)),
    );
  }

  versionOf(process: string): LogOffset | undefined {
    return this.#versions.get(process)?.at(-1);
  }

  eventsOf(process: string): readonly EventNumber[] {
    return this.#events.get(process) ?? [];
  }

  expectNoReversal(): void {
    for (const versions of this.#versions.values()) {
      expect(versions).toEqual(
        [...versions].sort((left, right) => left - right),
      );
    }
  }

  /** Every member, the configuration and every shard still stands in what the log keeps. */
  expectRecordsRetained(): void {
    const kept = this.system.log.records.filter(({ appendedAt }) =>
      appendedAt > this.system.time.now - RETENTION_MILLISECONDS
    );
    const kinds = new Set(kept.map(({ record }) => record.kind));
    expect(kinds).toEqual(
      new Set([
        LogRecordKind.MemberJoined,
        LogRecordKind.ShardsClaimed,
        LogRecordKind.ConfigurationPublished,
      ]),
    );
  }

  /** Claims other than refreshes. */
  claims(): number {
    return this.system.log.records.filter(({ record }) =>
      record.kind === LogRecordKind.ShardsClaimed &&
      record.reason !== ClaimReason.Refresh
    ).length;
  }

  owners(): number {
    const claimants = this.system.log.records.flatMap(({ record }) =>
      record.kind === LogRecordKind.ShardsClaimed ? [record.claimant] : []
    );
    return new Set(claimants).size;
  }

  restartEveryEntry(): void {
    for (let index = 0; index < ENTRIES; index += 1) {
      this.system.entries[index]?.kill();
      this.system.startEntry(index);
    }
  }

  /** Runs jobs through the first entry; gives how many were completed. */
  runJobs(count: number): number {
    const [entry] = this.system.entries;
    if (entry === undefined) throw new Error("no entry");
    let completed = 0;
    for (let index = 0; index < count; index += 1) {
      this.#jobs += 1;
      const key = `job-${this.#jobs}`;
      const submission = sampleSubmission({ key, runMilliseconds: [50] });
      this.system.submit(entry, submission, (answer: CallerAnswer) => {
        const isCompleted = answer.kind === CallerAnswerKind.Outcome &&
          answer.outcome.kind === JobOutcomeKind.Completed;
        if (isCompleted) completed += 1;
      });
    }
    this.advance(5_000);
    return completed;
  }
}
