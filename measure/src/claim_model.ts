/**
 * Models of the schemes that were weighed against ownership with evidence. A model has the request path
 * only: an entry, a process that decides, the claim, a runner, and the way back. Its log is the fake of
 * the emulator; processes are points with a zone, and each runner has a slot for every task.
 * What was not delivered counts as proved undelivered, which flatters the models in a cut.
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
  DEADLINE_MILLISECONDS,
  DECIDERS,
  DELAY_MILLISECONDS,
  DETECTION_MILLISECONDS,
  FAILURE_MILLISECONDS,
  LEASE_MILLISECONDS,
  NODES,
  OUTAGE_MILLISECONDS,
  RACK_NODES,
  RUN_MILLISECONDS,
  SUBMISSION_EVERY_MILLISECONDS,
  SUBMISSIONS,
  ZONES,
} from "./claim_scheme.ts";

/** Schemes that are modelled. */
export type ModelledScheme = Exclude<
  ClaimScheme,
  ClaimScheme.OwnershipWithEvidence
>;

interface Submission {
  readonly index: number;
  readonly madeAt: Milliseconds;
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
  readonly #submissions: Submission[] = [];
  readonly #batches = new Map<number, (() => void)[]>();
  readonly #appending = new Set<number>();
  #isFailed = false;
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

  /** Runs to the end. */
  run(): ClaimRun {
    for (let index = 0; index < SUBMISSIONS; index += 1) {
      this.#time.after(
        index * SUBMISSION_EVERY_MILLISECONDS,
        () => this.#submit(index),
      );
    }
    this.#time.after(FAILURE_MILLISECONDS, () => this.#fail());
    const end = SUBMISSIONS * SUBMISSION_EVERY_MILLISECONDS +
      2 * DEADLINE_MILLISECONDS;
    this.#time.runUntil(end);
    const completed = this.#submissions.filter(({ outcome }) =>
      outcome === ClaimOutcome.Completed
    );
    return {
      outcomes: this.#submissions.map(({ outcome }) =>
        outcome ?? ClaimOutcome.Unknown
      ),
      responses: completed.map(({ endedAt, madeAt }) => endedAt - madeAt),
      messages: this.#messages,
      appends: this.#appends,
    };
  }

  #fail(): void {
    switch (this.#options.failure) {
      case ClaimFailure.None:
        return;
      case ClaimFailure.OneDeath:
      case ClaimFailure.OneRack:
        this.#isFailed = true;
        return;
      case ClaimFailure.ZoneCut:
        this.#isFailed = true;
        this.#time.after(OUTAGE_MILLISECONDS, () => {
          this.#isFailed = false;
        });
        return;
      case ClaimFailure.LogOutage:
        this.#log.isAway = true;
        this.#time.after(OUTAGE_MILLISECONDS, () => {
          this.#log.isAway = false;
        });
        return;
      default:
        assertNever(this.#options.failure);
    }
  }

  /** Nodes 0 to 2 decide; node 0 is the one that dies, and its rack is made of nodes 0, 3 and 4. */
  #isDead(node: number): boolean {
    if (!this.#isFailed) return false;
    switch (this.#options.failure) {
      case ClaimFailure.OneDeath:
        return node === 0;
      case ClaimFailure.OneRack:
        return node === 0 ||
          (node >= DECIDERS && node < DECIDERS + RACK_NODES - 1);
      case ClaimFailure.None:
      case ClaimFailure.ZoneCut:
      case ClaimFailure.LogOutage:
        return false;
      default:
        return assertNever(this.#options.failure);
    }
  }

  #canReach(zone: number, node: number): boolean {
    if (this.#isDead(node)) return false;
    const isCut = this.#isFailed &&
      this.#options.failure === ClaimFailure.ZoneCut;
    return !isCut || (zone === 0) === (zoneOf(node) === 0);
  }

  #submit(index: number): void {
    const submission: Submission = {
      index,
      madeAt: this.#time.now,
      entryZone: index % ZONES,
      outcome: undefined,
      endedAt: 0,
    };
    this.#submissions.push(submission);
    this.#time.after(
      DEADLINE_MILLISECONDS,
      () => this.#end(submission, ClaimOutcome.Unknown),
    );
    this.#relay(submission, Math.floor(index / ZONES) % DECIDERS);
  }

  #relay(submission: Submission, decider: number): void {
    this.#messages += 1;
    this.#time.after(DELAY_MILLISECONDS, () => {
      if (this.#canReach(submission.entryZone, decider)) {
        this.#claim(submission, decider);
      } else this.#relayAgain(submission, decider);
    });
  }

  /** The decider was never reached, so that another one may decide once this one counts as gone. */
  #relayAgain(submission: Submission, decider: number): void {
    const next = (decider + 1) % DECIDERS;
    this.#time.after(this.#untilTakeover(), () => {
      if (submission.outcome === undefined) this.#relay(submission, next);
    });
  }

  /** Time until everybody knows of the failure and another process has taken over. */
  #untilTakeover(): Milliseconds {
    const elapsed = this.#time.now - FAILURE_MILLISECONDS;
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

  #claim(submission: Submission, decider: number): void {
    const onClaimed = () => this.#start(submission, decider);
    switch (this.#scheme) {
      case ClaimScheme.ClaimAppend: {
        const batch = this.#batches.get(decider) ?? [];
        batch.push(onClaimed);
        this.#batches.set(decider, batch);
        this.#appendBatch(decider);
        return;
      }
      case ClaimScheme.MintedTickets:
        this.#useTicket();
        onClaimed();
        return;
      case ClaimScheme.WitnessCopy:
        this.#copy(submission, decider, onClaimed);
        return;
      default:
        assertNever(this.#scheme);
    }
  }

  #appendBatch(decider: number): void {
    const batch = this.#batches.get(decider) ?? [];
    if (this.#appending.has(decider) || batch.length === 0) return;
    this.#batches.set(decider, []);
    this.#appending.add(decider);
    this.#append((isSettled) => {
      this.#appending.delete(decider);
      if (isSettled) { for (const onClaimed of batch) onClaimed(); }
      else this.#batches.get(decider)?.unshift(...batch);
      this.#appendBatch(decider);
    });
  }

  #useTicket(): void {
    this.#tickets += 1;
    if (this.#tickets % TICKETS_PER_APPEND === 1) this.#append(() => {});
  }

  #copy(
    submission: Submission,
    decider: number,
    onCopied: () => void,
  ): void {
    const witness = (decider + 1) % DECIDERS;
    this.#messages += 2;
    this.#time.after(2 * DELAY_MILLISECONDS, () => {
      if (this.#canReach(zoneOf(decider), witness)) onCopied();
      else this.#copyElsewhere(submission, decider, onCopied);
    });
  }

  /** A new witness is named by record, once the old one counts as gone. */
  #copyElsewhere(
    submission: Submission,
    decider: number,
    onCopied: () => void,
  ): void {
    this.#time.after(this.#untilDetection(), () => {
      if (submission.outcome !== undefined) return;
      const witness = (decider + 2) % DECIDERS;
      this.#messages += 2;
      this.#append((isSettled) => {
        if (isSettled && this.#canReach(zoneOf(decider), witness)) onCopied();
        else this.#copyElsewhere(submission, decider, onCopied);
      });
    });
  }

  #append(onAnswer: (isSettled: boolean) => void): void {
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

  #start(submission: Submission, decider: number): void {
    if (submission.outcome !== undefined) return;
    if (this.#isDead(decider)) {
      this.#lose(submission);
      return;
    }
    const runner = this.#runnerFor(decider);
    this.#messages += 2;
    this.#time.after(DELAY_MILLISECONDS + RUN_MILLISECONDS, () => {
      if (this.#isDead(runner)) this.#end(submission, ClaimOutcome.Unknown);
      else this.#answer(submission, decider);
    });
  }

  #runnerFor(decider: number): number {
    const nodes = Array.from({ length: NODES }, (_, node) => node)
      .filter((node) =>
        node !== decider && this.#canReach(zoneOf(decider), node)
      );
    return this.#random.pick(nodes) ?? decider;
  }

  #answer(submission: Submission, decider: number): void {
    if (this.#isDead(decider)) {
      this.#lose(submission);
      return;
    }
    this.#messages += 1;
    this.#time.after(2 * DELAY_MILLISECONDS, () => {
      // A cut entry's caller asks again after the cut, or gives up at its deadline.
      if (this.#canReach(submission.entryZone, decider)) {
        this.#end(submission, ClaimOutcome.Completed);
      } else this.#answerLater(submission, decider);
    });
  }

  #untilDetection(): Milliseconds {
    const elapsed = this.#time.now - FAILURE_MILLISECONDS;
    return Math.max(RETRY_MILLISECONDS, DETECTION_MILLISECONDS - elapsed);
  }

  #answerLater(submission: Submission, decider: number): void {
    this.#time.after(RETRY_MILLISECONDS, () => {
      if (submission.outcome === undefined) this.#answer(submission, decider);
    });
  }

  /** The decider died with a submission that it had claimed. */
  #lose(submission: Submission): void {
    switch (this.#scheme) {
      case ClaimScheme.ClaimAppend:
      case ClaimScheme.MintedTickets:
        // The log, or the ticket, tells that it was claimed, and nothing tells whether it started.
        this.#end(submission, ClaimOutcome.Unknown);
        return;
      case ClaimScheme.WitnessCopy:
        this.#messages += 2;
        this.#time.after(
          this.#untilTakeover(),
          () => this.#end(submission, ClaimOutcome.Completed),
        );
        return;
      default:
        assertNever(this.#scheme);
    }
  }

  #end(submission: Submission, outcome: ClaimOutcome): void {
    if (submission.outcome !== undefined) return;
    submission.outcome = outcome;
    submission.endedAt = this.#time.now;
  }
}

function zoneOf(node: number): number {
  return node % ZONES;
}
