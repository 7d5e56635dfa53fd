/**
 * The orders in which a queue serves what waits. The system runs on weighted shares; the others are
 * baselines and bounds to measure against.
 */
import type { Shares } from "./shares.ts";

/** Kinds of disciplines. */
export enum QueueDisciplineKind {
  WeightedShares = "weighted-shares",
  LeastServedSubmission = "least-served-submission",
  FirstComeFirstServed = "first-come-first-served",
}

/** Kinds of work and teams share by weight; within a team the least-served submission is first. */
export interface WeightedSharesDiscipline {
  readonly kind: QueueDisciplineKind.WeightedShares;
  /** The shares in force. */
  readonly shares: () => Shares;
}

/** The least-served submission is first, whoever made it. */
export interface LeastServedSubmissionDiscipline {
  readonly kind: QueueDisciplineKind.LeastServedSubmission;
}

/** The oldest submission is first. */
export interface FirstComeFirstServedDiscipline {
  readonly kind: QueueDisciplineKind.FirstComeFirstServed;
}

/** Any discipline. */
export type QueueDiscipline =
  | WeightedSharesDiscipline
  | LeastServedSubmissionDiscipline
  | FirstComeFirstServedDiscipline;

/** Returns a discipline of a kind. */
export function createQueueDiscipline(
  kind: QueueDisciplineKind,
  shares: () => Shares,
): QueueDiscipline {
  switch (kind) {
    case QueueDisciplineKind.WeightedShares:
      return { kind, shares };
    case QueueDisciplineKind.LeastServedSubmission:
    case QueueDisciplineKind.FirstComeFirstServed:
      return { kind };
  }
}
