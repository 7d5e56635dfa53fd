/**
 * Tests that the configuration, the members and the shard claims survive concurrent publications, outages,
 * restarts and the log's retention.
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

test("after concurrent publications one version is in force everywhere within 5 s", () => {
  const harness = new ConfigurationHarness(1);
  harness.advance(2_000);
  harness.publish("left", 1);
  harness.publish("right", 1);
  harness.advance(IN_FORCE_MILLISECONDS);
  const [winner] = harness.publishedOffsets("left");
  expect(harness.versions()).toEqual(new Set([winner]));
  harness.expectNoReversal();
});

test("a process that starts during an outage adopts a peer's configuration and records an event", () => {
  const harness = new ConfigurationHarness(2);
  harness.advance(2_000);
  harness.publish("second", 1);
  harness.advance(1_000);
  harness.system.log.isUnavailable = true;
  harness.advance(1_000);
  harness.system.entries[0]?.kill();
  harness.system.startEntry(0);
  harness.advance(IN_FORCE_MILLISECONDS);
  const [second] = harness.publishedOffsets("second");
  const started = harness.system.entries[0]?.identifier ?? "";
  expect(harness.versionOf(started)).toEqual(second);
  expect(harness.eventsOf(started)).toInclude(
    EventNumber.ConfigurationLearntFromPeer,
  );
});

test("retention and restarts revert no configuration and move no shard", () => {
  const harness = new ConfigurationHarness(3);
  harness.advance(2_000);
  harness.publish("second", 1);
  harness.advance(3 * RETENTION_MILLISECONDS);
  harness.expectRecordsRetained();
  const claims = harness.countNewClaims();
  harness.restartEveryEntry();
  harness.advance(5_000);
  const [second] = harness.publishedOffsets("second");
  expect(harness.versions()).toEqual(new Set([second]));
  expect(harness.countNewClaims()).toEqual(claims);
  expect(harness.runJobs(10)).toEqual(10);
  harness.expectNoReversal();
});

test("an outage longer than the retention loses no configuration", () => {
  const harness = new ConfigurationHarness(4);
  harness.advance(2_000);
  harness.publish("second", 1);
  harness.advance(2_000);
  harness.system.log.isUnavailable = true;
  harness.advance(2 * RETENTION_MILLISECONDS);
  harness.system.log.isUnavailable = false;
  harness.advance(10_000);
  harness.restartEveryEntry();
  harness.advance(RETENTION_MILLISECONDS);
  const [second] = harness.publishedOffsets("second");
  expect(harness.versions()).toEqual(new Set([second]));
  expect(harness.runJobs(10)).toEqual(10);
  harness.expectNoReversal();
});

test("a fleet whose records were all dropped claims its shards again", () => {
  const harness = new ConfigurationHarness(5);
  harness.advance(3_000);
  for (const { process } of harness.system.sidecars) process.kill();
  harness.advance(2 * RETENTION_MILLISECONDS);
  for (let index = 0; index < SIDECARS; index += 1) {
    harness.system.startSidecar(index);
  }
  harness.advance(20_000);
  expect(harness.runJobs(10)).toEqual(10);
});

test("at most three refreshes per process, owner and configuration occur within one retention period", () => {
  const harness = new ConfigurationHarness(6);
  harness.advance(5_000);
  const before = harness.system.log.records.length;
  harness.advance(RETENTION_MILLISECONDS);
  const refreshes = harness.system.log.records.length - before;
  // Each record is refreshed after 0.4 to 0.6 of the retention, so at most three times in that period.
  const sources = SIDECARS + ENTRIES + harness.countOwners() + 1;
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

  /** Advances virtual time; the log drops records that are older than the retention. */
  advance(milliseconds: Milliseconds): void {
    const { time, log } = this.system;
    const end = time.now + milliseconds;
    while (time.now < end) {
      time.runUntil(Math.min(end, time.now + RETENTION_STEP_MILLISECONDS));
      const oldestRetained = log.records.find(({ appendedAt }) =>
        appendedAt > time.now - RETENTION_MILLISECONDS
      );
      log.dropBefore(oldestRetained?.offset ?? log.records.length + 1);
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

  /** Returns the versions in force in the current processes. */
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

  /** Asserts that the log still contains records of members, shard claims and the configuration. */
  expectRecordsRetained(): void {
    const retained = this.system.log.records.filter(({ appendedAt }) =>
      appendedAt > this.system.time.now - RETENTION_MILLISECONDS
    );
    const kinds = new Set(retained.map(({ record }) => record.kind));
    expect(kinds).toEqual(
      new Set([
        LogRecordKind.MemberJoined,
        LogRecordKind.ShardsClaimed,
        LogRecordKind.ConfigurationPublished,
      ]),
    );
  }

  /** Returns the number of claims that are not refreshes. */
  countNewClaims(): number {
    return this.system.log.records.filter(({ record }) =>
      record.kind === LogRecordKind.ShardsClaimed &&
      record.reason !== ClaimReason.Refresh
    ).length;
  }

  countOwners(): number {
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

  /** Runs jobs through the first entry; returns how many were completed. */
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
