/**
 * Disciplines: the orders in which a queue serves waiting items. The system uses weighted shares; the
 * other disciplines are baselines and bounds for measurements.
 */
import type { Shares } from "./shares.ts";

/** Kinds of queue disciplines. */
export enum QueueDisciplineKind {
  WeightedShares = "weighted-shares",
  LeastServedSubmission = "least-served-submission",
  FirstComeFirstServed = "first-come-first-served",
}

/** Kinds of work and teams share by weight; within a team the least-served submission goes first. */
export interface WeightedSharesDiscipline {
  readonly kind: QueueDisciplineKind.WeightedShares;
  /** Returns the shares in force. */
  readonly shares: () => Shares;
}

/** The least-served submission goes first, regardless of its team. */
export interface LeastServedSubmissionDiscipline {
  readonly kind: QueueDisciplineKind.LeastServedSubmission;
}

/** The oldest submission goes first. */
export interface FirstComeFirstServedDiscipline {
  readonly kind: QueueDisciplineKind.FirstComeFirstServed;
}

/** Any queue discipline. */
export type QueueDiscipline =
  | WeightedSharesDiscipline
  | LeastServedSubmissionDiscipline
  | FirstComeFirstServedDiscipline;

/** Returns the discipline of a kind; only weighted shares use `shares`. */
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
