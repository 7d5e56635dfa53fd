/**
 * The answers that an owner stores for resubmissions, each for the horizon. When the answers exceed their
 * limit in bytes, the oldest ones lose their content: a resubmission is then answered with an unknown
 * outcome instead of running again.
 */
import {
  type CallerRequestIdentifier,
  type JobOutcome,
  JobOutcomeKind,
  type Milliseconds,
  type NotRunOutcome,
  type RetainedAnswer,
  Step,
  type SubmissionIdentifier,
  UnknownReason,
} from "@eelgrassfront/model";
import { ExpiringMap } from "@eelgrassfront/retention";

/** Limits of an `AnswerStore`. */
export interface AnswerStoreOptions {
  readonly horizonMilliseconds: Milliseconds;
  /** Total bytes of answers that keep their content. */
  readonly maximumAnswerBytes: number;
  /** Number of submissions that are stored; at the limit no new job is admitted. */
  readonly maximumKeys?: number;
}

/** Bytes counted for each answer in addition to its results. */
const ANSWER_OVERHEAD_BYTES = 700;
const MAXIMUM_KEYS = 1_000_000;
/** Number of refusals that are stored for late copies of their requests. */
const MAXIMUM_REFUSALS = 1_000_000;

/** Stores answers by submission and refusals by caller request. */
export class AnswerStore {
  readonly #answers: ExpiringMap<SubmissionIdentifier, RetainedAnswer>;
  readonly #expired: ExpiringMap<SubmissionIdentifier, RetainedAnswer>;
  readonly #refusals: ExpiringMap<CallerRequestIdentifier, NotRunOutcome>;
  readonly #maximumKeys: number;

  constructor(options: AnswerStoreOptions) {
    const { horizonMilliseconds } = options;
    this.#maximumKeys = options.maximumKeys ?? MAXIMUM_KEYS;
    this.#expired = new ExpiringMap({
      horizonMilliseconds,
      maximumWeight: Infinity,
      weigh: () => 1,
    });
    this.#answers = new ExpiringMap({
      horizonMilliseconds,
      maximumWeight: options.maximumAnswerBytes,
      weigh: sizeOfAnswer,
      onEviction: (submission, answer, now) =>
        this.#expired.set(now, submission, expireAnswer(answer)),
    });
    this.#refusals = new ExpiringMap({
      horizonMilliseconds,
      maximumWeight: MAXIMUM_REFUSALS,
      weigh: () => 1,
    });
  }

  /** Whether no more submissions can be stored. None is evicted early, since its job could run again. */
  isFull(now: Milliseconds): boolean {
    this.#answers.purge(now);
    this.#expired.purge(now);
    return this.#answers.size + this.#expired.size >= this.#maximumKeys;
  }

  /** Finds the answer to a submission. */
  find(submission: SubmissionIdentifier): RetainedAnswer | undefined {
    return this.#answers.get(submission) ?? this.#expired.get(submission);
  }

  /** Stores an answer. */
  add(now: Milliseconds, answer: RetainedAnswer): void {
    this.#answers.set(now, answer.submission, answer);
  }

  /** Finds the refusal of a caller's request, so that a late copy of the request gets the same refusal. */
  findRefusal(request: CallerRequestIdentifier): NotRunOutcome | undefined {
    return this.#refusals.get(request);
  }

  /** Stores a refusal. */
  addRefusal(
    now: Milliseconds,
    request: CallerRequestIdentifier,
    outcome: NotRunOutcome,
  ): void {
    this.#refusals.set(now, request, outcome);
  }

  /** Returns the answers of the submissions that match. */
  answersWhere(
    matches: (submission: SubmissionIdentifier) => boolean,
  ): readonly RetainedAnswer[] {
    return [...this.#answers.values(), ...this.#expired.values()]
      .filter((answer) => matches(answer.submission));
  }

  /** Removes the answers of the submissions that match. */
  removeWhere(matches: (submission: SubmissionIdentifier) => boolean): void {
    for (const answer of this.answersWhere(matches)) {
      this.#answers.delete(answer.submission);
      this.#expired.delete(answer.submission);
    }
  }
}

function expireAnswer(answer: RetainedAnswer): RetainedAnswer {
  return {
    ...answer,
    outcome: {
      kind: JobOutcomeKind.Unknown,
      reason: UnknownReason.AnswerExpired,
      step: Step.AdmitJob,
    },
  };
}

function sizeOfAnswer(answer: RetainedAnswer): number {
  return ANSWER_OVERHEAD_BYTES + sizeOfOutcome(answer.outcome);
}

function sizeOfOutcome(outcome: JobOutcome): number {
  if (outcome.kind !== JobOutcomeKind.Completed) return 0;
  return outcome.results.reduce((bytes, result) => bytes + result.length, 0);
}
