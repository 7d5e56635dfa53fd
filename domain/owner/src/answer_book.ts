/**
 * The answers that an owner keeps for resubmissions. Answers stay for the horizon; when they grow too
 * heavy the oldest lose their content, and a resubmission then learns that the outcome is unknown
 * rather than running again.
 */
import {
  type CallerRequestIdentifier,
  type JobOutcome,
  JobOutcomeKind,
  type KeptAnswer,
  type Milliseconds,
  type NotRunOutcome,
  Step,
  type SubmissionIdentifier,
  UnknownReason,
} from "@eelgrassfront/model";
import { RecentMap } from "@eelgrassfront/retention";

/** Bounds of the kept answers. */
export interface AnswerBookOptions {
  readonly horizonMilliseconds: Milliseconds;
  /** Bytes of answers that are kept. */
  readonly maximumAnswerBytes: number;
}

const ANSWER_OVERHEAD_BYTES = 200;
/** Keys and refusals that are remembered without their content. */
const MAXIMUM_KEYS = 1_000_000;

/** Answers by submission, and refusals by caller request. */
export class AnswerBook {
  readonly #answers: RecentMap<SubmissionIdentifier, KeptAnswer>;
  readonly #expired: RecentMap<SubmissionIdentifier, KeptAnswer>;
  readonly #refusals: RecentMap<CallerRequestIdentifier, NotRunOutcome>;

  constructor(options: AnswerBookOptions) {
    const { horizonMilliseconds } = options;
    this.#expired = new RecentMap({
      horizonMilliseconds,
      maximumWeight: MAXIMUM_KEYS,
      weigh: () => 1,
    });
    this.#answers = new RecentMap({
      horizonMilliseconds,
      maximumWeight: options.maximumAnswerBytes,
      weigh: weighAnswer,
      onEviction: (submission, answer, now) =>
        this.#expired.set(now, submission, expire(answer)),
    });
    this.#refusals = new RecentMap({
      horizonMilliseconds,
      maximumWeight: MAXIMUM_KEYS,
      weigh: () => 1,
    });
  }

  /** Finds the answer to a submission. */
  find(submission: SubmissionIdentifier): KeptAnswer | undefined {
    return this.#answers.get(submission) ?? this.#expired.get(submission);
  }

  /** Keeps an answer. */
  keep(now: Milliseconds, answer: KeptAnswer): void {
    this.#answers.set(now, answer.submission, answer);
  }

  /** Finds the refusal that a caller's request received, so that a late copy of it is refused alike. */
  findRefusal(request: CallerRequestIdentifier): NotRunOutcome | undefined {
    return this.#refusals.get(request);
  }

  /** Keeps a refusal. */
  keepRefusal(
    now: Milliseconds,
    request: CallerRequestIdentifier,
    outcome: NotRunOutcome,
  ): void {
    this.#refusals.set(now, request, outcome);
  }

  /** The answers that match. */
  answersWhere(
    matches: (submission: SubmissionIdentifier) => boolean,
  ): readonly KeptAnswer[] {
    return [...this.#answers.values(), ...this.#expired.values()]
      .filter((answer) => matches(answer.submission));
  }

  /** Forgets the answers that match. */
  forgetWhere(matches: (submission: SubmissionIdentifier) => boolean): void {
    for (const answer of this.answersWhere(matches)) {
      this.#answers.delete(answer.submission);
      this.#expired.delete(answer.submission);
    }
  }
}

function expire(answer: KeptAnswer): KeptAnswer {
  return {
    ...answer,
    outcome: {
      kind: JobOutcomeKind.Unknown,
      reason: UnknownReason.AnswerExpired,
      step: Step.AdmitJob,
    },
  };
}

function weighAnswer(answer: KeptAnswer): number {
  return ANSWER_OVERHEAD_BYTES + weighOutcome(answer.outcome);
}

function weighOutcome(outcome: JobOutcome): number {
  if (outcome.kind !== JobOutcomeKind.Completed) return 0;
  return outcome.results.reduce((bytes, result) => bytes + result.length, 0);
}
