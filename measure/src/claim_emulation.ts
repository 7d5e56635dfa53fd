/**
 * Runs ownership with start records under the same load and failures as the models of the other schemes:
 * the real decision code of every role in virtual time, with the emulator's fakes at the ports.
 */
import {
  SAMPLE_CONFIGURATION,
  sampleSubmission,
  VirtualSystem,
} from "@eelgrassfront/emulator";
import {
  assertNever,
  type CallerAnswer,
  CallerAnswerKind,
  JobOutcomeKind,
  LogRecordKind,
  type Milliseconds,
  OutputKind,
  PeerRequestKind,
  type ProcessOutput,
} from "@eelgrassfront/model";
import {
  ClaimFailure,
  ClaimOutcome,
  type ClaimRun,
  type ClaimRunOptions,
  COORDINATORS,
  DEADLINE_MILLISECONDS,
  DELAY_MILLISECONDS,
  ENTRIES,
  FAILURE_AT_MILLISECONDS,
  NODES,
  OUTAGE_MILLISECONDS,
  RACK_NODES,
  RUN_MILLISECONDS,
  SLOTS,
  SUBMISSION_INTERVAL_MILLISECONDS,
  SUBMISSIONS,
  ZONES,
} from "./claim_scheme.ts";

const SHARDS = 64;
const STARTUP_MILLISECONDS: Milliseconds = 3_000;
const DRAIN_MILLISECONDS: Milliseconds = 15_000;
const FIRST_ZONE = 0;

/** One run of the real decision code. */
export class ClaimEmulation {
  readonly #options: ClaimRunOptions;
  readonly #system: VirtualSystem;
  readonly #outcomes: ClaimOutcome[] = [];
  readonly #responses: Milliseconds[] = [];
  #messages = 0;
  #epochToken = 0;

  constructor(options: ClaimRunOptions) {
    this.#options = options;
    this.#system = new VirtualSystem({
      seed: options.seed,
      entries: ENTRIES,
      sidecars: NODES,
      slots: SLOTS,
      owners: COORDINATORS,
      shards: SHARDS,
      configuration: SAMPLE_CONFIGURATION,
      delayMilliseconds: DELAY_MILLISECONDS,
      onOutput: (_process, output) => this.#countMessages(output),
    });
  }

  /** Runs the load and the failure, and returns the result. */
  run(): ClaimRun {
    const { time, log } = this.#system;
    time.runUntil(STARTUP_MILLISECONDS);
    const appendsBefore = log.records.length;
    this.#messages = 0;
    for (let index = 0; index < SUBMISSIONS; index += 1) {
      const at = index * SUBMISSION_INTERVAL_MILLISECONDS;
      time.after(at, () => this.#submit(index));
    }
    time.after(FAILURE_AT_MILLISECONDS, () => this.#injectFailure());
    const loadMilliseconds = SUBMISSIONS * SUBMISSION_INTERVAL_MILLISECONDS;
    time.runUntil(STARTUP_MILLISECONDS + loadMilliseconds + DRAIN_MILLISECONDS);
    const missing = SUBMISSIONS - this.#outcomes.length;
    return {
      outcomes: [
        ...this.#outcomes,
        ...Array.from({ length: missing }, () => ClaimOutcome.Unknown),
      ],
      responses: this.#responses,
      messages: this.#messages,
      appends: log.records.length - appendsBefore,
    };
  }

  #submit(index: number): void {
    const { time, entries } = this.#system;
    const entry = entries[index % ENTRIES];
    if (entry === undefined) return;
    const submittedAt = time.now;
    const submission = {
      ...sampleSubmission({
        key: `job-${index}`,
        runMilliseconds: [RUN_MILLISECONDS],
        deadlineMilliseconds: DEADLINE_MILLISECONDS,
      }),
      firstMadeAtEpoch: this.#epochToken,
    };
    this.#system.submit(entry, submission, (answer, token) => {
      this.#epochToken = Math.max(this.#epochToken, token);
      const outcome = classifyAnswer(answer);
      this.#outcomes.push(outcome);
      if (outcome !== ClaimOutcome.Completed) return;
      this.#responses.push(time.now - submittedAt);
    });
  }

  #injectFailure(): void {
    const { time, log, network } = this.#system;
    switch (this.#options.failure) {
      case ClaimFailure.None:
        return;
      case ClaimFailure.NodeFailure:
        this.#kill(1);
        return;
      case ClaimFailure.RackFailure:
        this.#kill(RACK_NODES);
        return;
      case ClaimFailure.ZonePartition:
        this.#partitionFirstZone();
        time.after(OUTAGE_MILLISECONDS, () => network.restoreAllLinks());
        return;
      case ClaimFailure.LogOutage:
        log.isUnavailable = true;
        time.after(OUTAGE_MILLISECONDS, () => {
          log.isUnavailable = false;
        });
        return;
      default:
        assertNever(this.#options.failure);
    }
  }

  /** Kills `count` sidecars at once: one owner, and otherwise sidecars that own no shard. */
  #kill(count: number): void {
    const owners = this.#currentOwners();
    const processes = this.#system.sidecars.map(({ process }) => process);
    const owningProcesses = processes.filter(({ identifier }) =>
      owners.has(identifier)
    );
    const otherProcesses = processes.filter(({ identifier }) =>
      !owners.has(identifier)
    );
    for (
      const process of [...owningProcesses.slice(0, 1), ...otherProcesses]
        .slice(0, count)
    ) {
      process.kill();
    }
  }

  #currentOwners(): ReadonlySet<string> {
    const owners = new Map<number, string>();
    for (const { record } of this.#system.log.records) {
      if (record.kind !== LogRecordKind.ShardsClaimed) continue;
      for (const { shard } of record.claims) owners.set(shard, record.claimant);
    }
    return new Set(owners.values());
  }

  #partitionFirstZone(): void {
    const { sidecars, entries, network } = this.#system;
    const processes = [
      ...sidecars.map(({ process }, index) => ({ process, index })),
      ...entries.map((process, index) => ({ process, index })),
    ];
    const isInside = (index: number) => index % ZONES === FIRST_ZONE;
    for (const left of processes) {
      for (const right of processes) {
        if (isInside(left.index) === isInside(right.index)) continue;
        network.cutLink(left.process.identifier, right.process.identifier);
      }
    }
  }

  /** Counts messages other than heartbeats: a request and its one reply. */
  #countMessages(output: ProcessOutput): void {
    if (output.kind !== OutputKind.SendRequest) return;
    if (output.message.kind === PeerRequestKind.Heartbeat) return;
    this.#messages += 2;
  }
}

function classifyAnswer(answer: CallerAnswer): ClaimOutcome {
  if (answer.kind !== CallerAnswerKind.Outcome) return ClaimOutcome.Refused;
  switch (answer.outcome.kind) {
    case JobOutcomeKind.Completed:
      return ClaimOutcome.Completed;
    case JobOutcomeKind.NotRun:
      return ClaimOutcome.Refused;
    case JobOutcomeKind.Failed:
    case JobOutcomeKind.Unknown:
      return ClaimOutcome.Unknown;
  }
}
