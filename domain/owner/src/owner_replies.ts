/**
 * Replies of an owner to entries and other owners, and the counters of its job outcomes.
 */
import {
  Counter,
  type Epoch,
  type JobOutcome,
  JobOutcomeKind,
  type OutputCollector,
  OutputKind,
  type PeerReply,
  PeerReplyKind,
  type ShardNumber,
  Step,
  UNCLAIMED_EPOCH,
  UnknownReason,
} from "@eelgrassfront/model";
import type { JobWaiter } from "./job.ts";

/** Origin of a request that waits for a reply. */
export type RequestOrigin = Pick<JobWaiter, "from" | "request">;

/** Output collector and epoch lookups of an `OwnerReplies`. */
export interface OwnerRepliesOptions {
  readonly collector: OutputCollector;
  /** Returns the epoch of this owner's claim of a shard, or undefined when it does not own the shard. */
  readonly ownedEpochOf: (shard: ShardNumber) => Epoch | undefined;
  /** Returns the newest epoch of a shard in the log. */
  readonly knownEpochOf: (shard: ShardNumber) => Epoch;
}

/** Sends replies and counts outcomes. */
export class OwnerReplies {
  readonly #options: OwnerRepliesOptions;

  constructor(options: OwnerRepliesOptions) {
    this.#options = options;
  }

  /** Replies with the outcome of a job. */
  sendOutcome(
    origin: RequestOrigin,
    shard: ShardNumber,
    outcome: JobOutcome,
  ): void {
    this.#replyAnswer(origin, shard, { outcome, isKeyReused: false });
  }

  /** Replies that the idempotency key was used before with different content. */
  rejectReusedKey(origin: RequestOrigin, shard: ShardNumber): void {
    this.#replyAnswer(origin, shard, {
      outcome: {
        kind: JobOutcomeKind.Unknown,
        reason: UnknownReason.AnswerExpired,
        step: Step.AdmitJob,
      },
      isKeyReused: true,
    });
  }

  /** Replies `NotOwner`, with the newest epoch of the shard that this process knows. */
  replyNotOwner(origin: RequestOrigin, shard: ShardNumber): void {
    this.send(origin, {
      kind: PeerReplyKind.NotOwner,
      knownEpoch: this.#options.knownEpochOf(shard),
    });
  }

  /** Sends a reply. */
  send(origin: RequestOrigin, message: PeerReply): void {
    this.#options.collector.add({
      kind: OutputKind.SendReply,
      to: origin.from,
      request: origin.request,
      message,
    });
  }

  /** Counts an outcome by its kind and reason. */
  countOutcome(outcome: JobOutcome): void {
    const { collector } = this.#options;
    switch (outcome.kind) {
      case JobOutcomeKind.Completed:
        collector.count(Counter.JobsCompleted);
        return;
      case JobOutcomeKind.Failed:
        collector.count(Counter.JobsFailed, outcome.reason);
        return;
      case JobOutcomeKind.NotRun:
        collector.count(Counter.JobsNotRun, outcome.reason);
        return;
      case JobOutcomeKind.Unknown:
        collector.count(Counter.JobsUnknown, outcome.reason);
        return;
    }
  }

  #replyAnswer(
    origin: RequestOrigin,
    shard: ShardNumber,
    answer: { readonly outcome: JobOutcome; readonly isKeyReused: boolean },
  ): void {
    this.send(origin, {
      kind: PeerReplyKind.JobAnswered,
      ...answer,
      epoch: this.#options.ownedEpochOf(shard) ?? UNCLAIMED_EPOCH,
    });
  }
}
