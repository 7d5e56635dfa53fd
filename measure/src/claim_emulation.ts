/**
 * Ownership with evidence under the same load and failures as the models: the real decisions of every
 * role in virtual time, with the emulator's fakes at the ports.
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
  DEADLINE_MILLISECONDS,
  DECIDERS,
  DELAY_MILLISECONDS,
  ENTRIES,
  FAILURE_MILLISECONDS,
  NODES,
  OUTAGE_MILLISECONDS,
  RACK_NODES,
  RUN_MILLISECONDS,
  SLOTS,
  SUBMISSION_EVERY_MILLISECONDS,
  SUBMISSIONS,
  ZONES,
} from "./claim_scheme.ts";

const SHARDS = 64;
const READY_MILLISECONDS: Milliseconds = 3_000;
const GRACE_MILLISECONDS: Milliseconds = 15_000;
const FIRST_ZONE = 0;

/** One run of the real decisions. */
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
      owners: DECIDERS,
      shards: SHARDS,
      configuration: SAMPLE_CONFIGURATION,
      delayMilliseconds: DELAY_MILLISECONDS,
      onOutput: (_process, output) => this.#count(output),
    });
  }

  /** Runs to the end. */
  run(): ClaimRun {
    const { time, log } = this.#system;
    time.runUntil(READY_MILLISECONDS);
    const appendsBefore = log.records.length;
    this.#messages = 0;
    for (let index = 0; index < SUBMISSIONS; index += 1) {
      const at = index * SUBMISSION_EVERY_MILLISECONDS;
      time.after(at, () => this.#submit(index));
    }
    time.after(FAILURE_MILLISECONDS, () => this.#fail());
    const busy = SUBMISSIONS * SUBMISSION_EVERY_MILLISECONDS;
    time.runUntil(READY_MILLISECONDS + busy + GRACE_MILLISECONDS);
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
    const madeAt = time.now;
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
      const outcome = outcomeOf(answer);
      this.#outcomes.push(outcome);
      if (outcome !== ClaimOutcome.Completed) return;
      this.#responses.push(time.now - madeAt);
    });
  }

  #fail(): void {
    const { time, log, network } = this.#system;
    switch (this.#options.failure) {
      case ClaimFailure.None:
        return;
      case ClaimFailure.OneDeath:
        this.#kill(1);
        return;
      case ClaimFailure.OneRack:
        this.#kill(RACK_NODES);
        return;
      case ClaimFailure.ZoneCut:
        this.#cutFirstZone();
        time.after(OUTAGE_MILLISECONDS, () => network.healAll());
        return;
      case ClaimFailure.LogOutage:
        log.isAway = true;
        time.after(OUTAGE_MILLISECONDS, () => {
          log.isAway = false;
        });
        return;
      default:
        assertNever(this.#options.failure);
    }
  }

  /** Ends an owner, and so many processes together that own nothing else. */
  #kill(count: number): void {
    const owners = this.#owners();
    const processes = this.#system.sidecars.map(({ process }) => process);
    const owner = processes.filter(({ identifier }) => owners.has(identifier));
    const others = processes.filter(({ identifier }) =>
      !owners.has(identifier)
    );
    for (const process of [...owner.slice(0, 1), ...others].slice(0, count)) {
      process.kill();
    }
  }

  #owners(): ReadonlySet<string> {
    const owners = new Map<number, string>();
    for (const { record } of this.#system.log.records) {
      if (record.kind !== LogRecordKind.ShardsClaimed) continue;
      for (const { shard } of record.claims) owners.set(shard, record.claimant);
    }
    return new Set(owners.values());
  }

  #cutFirstZone(): void {
    const { sidecars, entries, network } = this.#system;
    const processes = [
      ...sidecars.map(({ process }, index) => ({ process, index })),
      ...entries.map((process, index) => ({ process, index })),
    ];
    const isInside = (index: number) => index % ZONES === FIRST_ZONE;
    for (const left of processes) {
      for (const right of processes) {
        if (isInside(left.index) === isInside(right.index)) continue;
        network.cut(left.process.identifier, right.process.identifier);
      }
    }
  }

  /** Counts the messages that carry work; each request has one reply. */
  #count(output: ProcessOutput): void {
    if (output.kind !== OutputKind.SendRequest) return;
    if (output.message.kind === PeerRequestKind.Heartbeat) return;
    this.#messages += 2;
  }
}

function outcomeOf(answer: CallerAnswer): ClaimOutcome {
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
