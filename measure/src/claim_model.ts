/**
 * Models of the schemes that are compared with ownership by start records. A model covers only the path of
 * a request: an entry, a coordinator, the claim, a runner, and the way back. Its log is the emulator's fake;
 * a process is modelled only by its availability zone, and a runner has a free slot for every task. A sender
 * detects every undelivered message with certainty, which favours the models during a partition.
 */
import { FakeLog, SeededRandom, VirtualTime } from "@eelgrassfront/emulator";
import {
  assertNever,
  ClaimReason,
  InputKind,
  LogRecordKind,
  type Milliseconds,
  processIdentifier,
} from "@eelgrassfront/model";
import {
  APPEND_MILLISECONDS,
  ClaimFailure,
  ClaimOutcome,
  type ClaimRun,
  type ClaimRunOptions,
  ClaimScheme,
  COORDINATORS,
  DEADLINE_MILLISECONDS,
  DELAY_MILLISECONDS,
  DETECTION_MILLISECONDS,
  FAILURE_AT_MILLISECONDS,
  LEASE_MILLISECONDS,
  NODES,
  OUTAGE_MILLISECONDS,
  RACK_NODES,
  RUN_MILLISECONDS,
  SUBMISSION_INTERVAL_MILLISECONDS,
  SUBMISSIONS,
  ZONES,
} from "./claim_scheme.ts";

/** Schemes that have a model. */
export type ModelledScheme = Exclude<
  ClaimScheme,
  ClaimScheme.OwnershipWithStartRecords
>;

interface ModelledSubmission {
  readonly index: number;
  readonly submittedAt: Milliseconds;
  readonly entryZone: number;
  outcome: ClaimOutcome | undefined;
  endedAt: Milliseconds;
}

const READ_MILLISECONDS: Milliseconds = 1;
const RETRY_MILLISECONDS: Milliseconds = 50;
const TICKETS_PER_APPEND = 1_000;
const WRITER = processIdentifier("model", "1");

/** One run of one scheme. */
export class ClaimModel {
  readonly #scheme: ModelledScheme;
  readonly #options: ClaimRunOptions;
  readonly #time = new VirtualTime();
  readonly #random: SeededRandom;
  readonly #log: FakeLog;
  readonly #submissions: ModelledSubmission[] = [];
  readonly #batches = new Map<number, (() => void)[]>();
  /** Coordinators that wait for the answer to an append. */
  readonly #appending = new Set<number>();
  #isFailureActive = false;
  #messages = 0;
  #appends = 0;
  #tickets = 0;

  constructor(scheme: ModelledScheme, options: ClaimRunOptions) {
    this.#scheme = scheme;
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    this.#log = new FakeLog({
      time: this.#time,
      random: this.#random,
      appendMilliseconds: APPEND_MILLISECONDS,
      readMilliseconds: READ_MILLISECONDS,
      waitMilliseconds: 0,
    });
  }

  /** Runs the load and the failure, and returns the result. */
  run(): ClaimRun {
    for (let index = 0; index < SUBMISSIONS; index += 1) {
      this.#time.after(
        index * SUBMISSION_INTERVAL_MILLISECONDS,
        () => this.#submit(index),
      );
    }
    this.#time.after(FAILURE_AT_MILLISECONDS, () => this.#injectFailure());
    const end = SUBMISSIONS * SUBMISSION_INTERVAL_MILLISECONDS +
      2 * DEADLINE_MILLISECONDS;
    this.#time.runUntil(end);
    const completed = this.#submissions.filter(({ outcome }) =>
      outcome === ClaimOutcome.Completed
    );
    return {
      outcomes: this.#submissions.map(({ outcome }) =>
        outcome ?? ClaimOutcome.Unknown
      ),
      responses: completed.map(({ endedAt, submittedAt }) =>
        endedAt - submittedAt
      ),
      messages: this.#messages,
      appends: this.#appends,
    };
  }

  #injectFailure(): void {
    switch (this.#options.failure) {
      case ClaimFailure.None:
        return;
      case ClaimFailure.NodeFailure:
      case ClaimFailure.RackFailure:
        this.#isFailureActive = true;
        return;
      case ClaimFailure.ZonePartition:
        this.#isFailureActive = true;
        this.#time.after(OUTAGE_MILLISECONDS, () => {
          this.#isFailureActive = false;
        });
        return;
      case ClaimFailure.LogOutage:
        this.#log.isUnavailable = true;
        this.#time.after(OUTAGE_MILLISECONDS, () => {
          this.#log.isUnavailable = false;
        });
        return;
      default:
        assertNever(this.#options.failure);
    }
  }

  /** Nodes 0 to 2 are coordinators. Node 0 is the one that fails; its rack consists of nodes 0, 3 and 4. */
  #hasFailed(node: number): boolean {
    if (!this.#isFailureActive) return false;
    switch (this.#options.failure) {
      case ClaimFailure.NodeFailure:
        return node === 0;
      case ClaimFailure.RackFailure:
        return node === 0 ||
          (node >= COORDINATORS && node < COORDINATORS + RACK_NODES - 1);
      case ClaimFailure.None:
      case ClaimFailure.ZonePartition:
      case ClaimFailure.LogOutage:
        return false;
      default:
        return assertNever(this.#options.failure);
    }
  }

  #canReach(zone: number, node: number): boolean {
    if (this.#hasFailed(node)) return false;
    const isPartitioned = this.#isFailureActive &&
      this.#options.failure === ClaimFailure.ZonePartition;
    return !isPartitioned || (zone === 0) === (zoneOf(node) === 0);
  }

  #submit(index: number): void {
    const submission: ModelledSubmission = {
      index,
      submittedAt: this.#time.now,
      entryZone: index % ZONES,
      outcome: undefined,
      endedAt: 0,
    };
    this.#submissions.push(submission);
    this.#time.after(
      DEADLINE_MILLISECONDS,
      () => this.#end(submission, ClaimOutcome.Unknown),
    );
    this.#relay(submission, Math.floor(index / ZONES) % COORDINATORS);
  }

  #relay(submission: ModelledSubmission, coordinator: number): void {
    this.#messages += 1;
    this.#time.after(DELAY_MILLISECONDS, () => {
      if (this.#canReach(submission.entryZone, coordinator)) {
        this.#claim(submission, coordinator);
      } else this.#retryRelay(submission, coordinator);
    });
  }

  /** The coordinator was never reached, so another one may take the submission after the takeover. */
  #retryRelay(submission: ModelledSubmission, coordinator: number): void {
    const next = (coordinator + 1) % COORDINATORS;
    this.#time.after(this.#timeUntilTakeover(), () => {
      if (submission.outcome === undefined) this.#relay(submission, next);
    });
  }

  /** Time until the failure is detected and another process has taken over. */
  #timeUntilTakeover(): Milliseconds {
    const elapsed = this.#time.now - FAILURE_AT_MILLISECONDS;
    return Math.max(
      DELAY_MILLISECONDS,
      this.#takeoverMilliseconds() - elapsed,
    );
  }

  #takeoverMilliseconds(): Milliseconds {
    switch (this.#scheme) {
      case ClaimScheme.ClaimAppend:
      case ClaimScheme.MintedTickets:
        return DETECTION_MILLISECONDS;
      case ClaimScheme.WitnessCopy:
        return DETECTION_MILLISECONDS + APPEND_MILLISECONDS +
          LEASE_MILLISECONDS;
      default:
        return assertNever(this.#scheme);
    }
  }

  #claim(submission: ModelledSubmission, coordinator: number): void {
    const onClaimed = () => this.#start(submission, coordinator);
    switch (this.#scheme) {
      case ClaimScheme.ClaimAppend: {
        const batch = this.#batches.get(coordinator) ?? [];
        batch.push(onClaimed);
        this.#batches.set(coordinator, batch);
        this.#appendBatch(coordinator);
        return;
      }
      case ClaimScheme.MintedTickets:
        this.#useTicket();
        onClaimed();
        return;
      case ClaimScheme.WitnessCopy:
        this.#copyToWitness(submission, coordinator, onClaimed);
        return;
      default:
        assertNever(this.#scheme);
    }
  }

  #appendBatch(coordinator: number): void {
    const batch = this.#batches.get(coordinator) ?? [];
    if (this.#appending.has(coordinator) || batch.length === 0) return;
    this.#batches.set(coordinator, []);
    this.#appending.add(coordinator);
    this.#append((isStored) => {
      this.#appending.delete(coordinator);
      if (isStored) { for (const onClaimed of batch) onClaimed(); }
      else this.#batches.get(coordinator)?.unshift(...batch);
      this.#appendBatch(coordinator);
    });
  }

  #useTicket(): void {
    this.#tickets += 1;
    if (this.#tickets % TICKETS_PER_APPEND === 1) this.#append(() => {});
  }

  #copyToWitness(
    submission: ModelledSubmission,
    coordinator: number,
    onDone: () => void,
  ): void {
    const witness = (coordinator + 1) % COORDINATORS;
    this.#messages += 2;
    this.#time.after(2 * DELAY_MILLISECONDS, () => {
      if (this.#canReach(zoneOf(coordinator), witness)) onDone();
      else this.#retryCopy(submission, coordinator, onDone);
    });
  }

  /** Appends a record that names a new witness, once the failure of the old one is detected. */
  #retryCopy(
    submission: ModelledSubmission,
    coordinator: number,
    onDone: () => void,
  ): void {
    this.#time.after(this.#timeUntilDetection(), () => {
      if (submission.outcome !== undefined) return;
      const witness = (coordinator + 2) % COORDINATORS;
      this.#messages += 2;
      this.#append((isStored) => {
        if (isStored && this.#canReach(zoneOf(coordinator), witness)) onDone();
        else this.#retryCopy(submission, coordinator, onDone);
      });
    });
  }

  #append(onAnswer: (isStored: boolean) => void): void {
    this.#appends += 1;
    const record = {
      kind: LogRecordKind.ShardsClaimed as const,
      claimant: WRITER,
      reason: ClaimReason.Unowned,
      claims: [],
    };
    this.#log.append(
      0,
      record,
      ({ kind }) => onAnswer(kind === InputKind.AppendConfirmed),
    );
  }

  #start(submission: ModelledSubmission, coordinator: number): void {
    if (submission.outcome !== undefined) return;
    if (this.#hasFailed(coordinator)) {
      this.#handleLostClaim(submission);
      return;
    }
    const runner = this.#chooseRunner(coordinator);
    this.#messages += 2;
    this.#time.after(DELAY_MILLISECONDS + RUN_MILLISECONDS, () => {
      if (this.#hasFailed(runner)) this.#end(submission, ClaimOutcome.Unknown);
      else this.#answer(submission, coordinator);
    });
  }

  #chooseRunner(coordinator: number): number {
    const nodes = Array.from({ length: NODES }, (_, node) => node)
      .filter((node) =>
        node !== coordinator && this.#canReach(zoneOf(coordinator), node)
      );
    return this.#random.pick(nodes) ?? coordinator;
  }

  #answer(submission: ModelledSubmission, coordinator: number): void {
    if (this.#hasFailed(coordinator)) {
      this.#handleLostClaim(submission);
      return;
    }
    this.#messages += 1;
    this.#time.after(2 * DELAY_MILLISECONDS, () => {
      // The caller of a partitioned entry retries until the partition ends or its deadline passes.
      if (this.#canReach(submission.entryZone, coordinator)) {
        this.#end(submission, ClaimOutcome.Completed);
      } else this.#retryAnswer(submission, coordinator);
    });
  }

  #timeUntilDetection(): Milliseconds {
    const elapsed = this.#time.now - FAILURE_AT_MILLISECONDS;
    return Math.max(RETRY_MILLISECONDS, DETECTION_MILLISECONDS - elapsed);
  }

  #retryAnswer(submission: ModelledSubmission, node: number): void {
    this.#time.after(RETRY_MILLISECONDS, () => {
      if (submission.outcome === undefined) this.#answer(submission, node);
    });
  }

  /** The coordinator failed after it had claimed the submission. */
  #handleLostClaim(submission: ModelledSubmission): void {
    switch (this.#scheme) {
      case ClaimScheme.ClaimAppend:
      case ClaimScheme.MintedTickets:
        // The log or the ticket shows that it was claimed, but nothing shows whether it started.
        this.#end(submission, ClaimOutcome.Unknown);
        return;
      case ClaimScheme.WitnessCopy:
        this.#messages += 2;
        this.#time.after(
          this.#timeUntilTakeover(),
          () => this.#end(submission, ClaimOutcome.Completed),
        );
        return;
      default:
        assertNever(this.#scheme);
    }
  }

  #end(submission: ModelledSubmission, outcome: ClaimOutcome): void {
    if (submission.outcome !== undefined) return;
    submission.outcome = outcome;
    submission.endedAt = this.#time.now;
  }
}

function zoneOf(node: number): number {
  return node % ZONES;
}
