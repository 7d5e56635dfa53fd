/**
 * Tests a fleet with more sidecars than witnesses, in which no process sends heartbeats to every other one:
 * failed owners and entries are still detected, and jobs complete.
 */
import { test } from "node:test";
import {
  type CallerAnswer,
  CallerAnswerKind,
  JobOutcomeKind,
  LogRecordKind,
  OutputKind,
  RemovalReason,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { SAMPLE_CONFIGURATION, sampleSubmission } from "./sample_work.ts";
import { VirtualSystem } from "./virtual_system.ts";

const READY_MILLISECONDS = 4_000;
const TAKEOVER_MILLISECONDS = 5_000;
const REMOVAL_MILLISECONDS = 12_000;
const SIDECARS = 24;
const JOBS = 40;
/** Epoch token newer than the takeover: missing start records then leave no outcome unknown. */
const AFTER_EVERY_CLAIM = 1_000_000;

for (const seed of [1, 2, 3]) {
  test(`killed owners are replaced in a fleet of ${SIDECARS}, seed ${seed}`, () => {
    const fleet = new LargeFleet(seed);
    for (const owner of fleet.owners) fleet.kill(owner);
    fleet.system.time.runUntil(READY_MILLISECONDS + TAKEOVER_MILLISECONDS);
    const answers = fleet.submitJobs();
    fleet.system.time.runUntil(
      READY_MILLISECONDS + TAKEOVER_MILLISECONDS + REMOVAL_MILLISECONDS,
    );
    expect(answers.length).toEqual(JOBS);
    expect(answers.filter(isCompleted).length).toEqual(JOBS);
  });

  test(`a killed entry is removed once in a fleet of ${SIDECARS}, seed ${seed}`, () => {
    const fleet = new LargeFleet(seed);
    const entry = fleet.system.entries[0];
    entry?.kill();
    fleet.system.time.runUntil(READY_MILLISECONDS + REMOVAL_MILLISECONDS);
    expect(fleet.removals).toEqual([entry?.identifier ?? ""]);
  });
}

class LargeFleet {
  readonly system: VirtualSystem;
  readonly owners = new Set<string>();
  readonly removals: string[] = [];

  constructor(seed: number) {
    this.system = new VirtualSystem({
      seed,
      entries: 2,
      sidecars: SIDECARS,
      slots: 4,
      owners: 3,
      shards: 16,
      configuration: SAMPLE_CONFIGURATION,
      delayMilliseconds: 0.5,
      onOutput: (_process, output) => {
        if (output.kind !== OutputKind.AppendRecord) return;
        const { record } = output;
        const isClaim = record.kind === LogRecordKind.ShardsClaimed;
        if (isClaim) this.owners.add(record.claimant);
        const isRemoval = record.kind === LogRecordKind.MemberRemoved &&
          record.reason === RemovalReason.Unreachable;
        if (isRemoval) this.removals.push(record.process);
      },
    });
    this.system.time.runUntil(READY_MILLISECONDS);
  }

  kill(identifier: string): void {
    const sidecar = this.system.sidecars.find(({ process }) =>
      process.identifier === identifier
    );
    sidecar?.process.kill();
  }

  submitJobs(): readonly CallerAnswer[] {
    const answers: CallerAnswer[] = [];
    const entry = this.system.entries[0];
    for (let job = 0; job < JOBS; job += 1) {
      const submission = sampleSubmission({
        key: `job-${job}`,
        runMilliseconds: [50],
      });
      if (entry === undefined) continue;
      this.system.submit(
        entry,
        { ...submission, firstMadeAtEpoch: AFTER_EVERY_CLAIM },
        (answer) => answers.push(answer),
      );
    }
    return answers;
  }
}

function isCompleted(answer: CallerAnswer): boolean {
  return answer.kind === CallerAnswerKind.Outcome &&
    answer.outcome.kind === JobOutcomeKind.Completed;
}
