/**
 * Replies of an owner to the processes that ask it, and the counts of its outcomes.
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

/** A request of another process that waits for a reply. */
export type RequestOrigin = Pick<JobWaiter, "from" | "request">;

/** What replies need. */
export interface OwnerRepliesOptions {
  readonly collector: OutputCollector;
  /** The epoch under which this owner owns a shard. */
  readonly ownedEpochOf: (shard: ShardNumber) => Epoch | undefined;
  /** The newest epoch of a shard in the log. */
  readonly knownEpochOf: (shard: ShardNumber) => Epoch;
}

/** Replies to entries and counts outcomes. */
export class OwnerReplies {
  readonly #options: OwnerRepliesOptions;

  constructor(options: OwnerRepliesOptions) {
    this.#options = options;
  }

  /** Gives an outcome. */
  sendOutcome(
    waiter: RequestOrigin,
    shard: ShardNumber,
    outcome: JobOutcome,
  ): void {
    this.#replyAnswer(waiter, shard, { outcome, isKeyReused: false });
  }

  /** Says that the key was used for another content. */
  rejectReusedKey(waiter: RequestOrigin, shard: ShardNumber): void {
    this.#replyAnswer(waiter, shard, {
      outcome: {
        kind: JobOutcomeKind.Unknown,
        reason: UnknownReason.AnswerExpired,
        step: Step.AdmitJob,
      },
      isKeyReused: true,
    });
  }

  /** Says that somebody else owns the shard. */
  replyNotOwner(waiter: RequestOrigin, shard: ShardNumber): void {
    this.send(waiter, {
      kind: PeerReplyKind.NotOwner,
      knownEpoch: this.#options.knownEpochOf(shard),
    });
  }

  /** Sends a reply. */
  send(waiter: RequestOrigin, message: PeerReply): void {
    this.#options.collector.add({
      kind: OutputKind.SendReply,
      to: waiter.from,
      request: waiter.request,
      message,
    });
  }

  /** Counts an outcome with its reason. */
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
    waiter: RequestOrigin,
    shard: ShardNumber,
    answer: { readonly outcome: JobOutcome; readonly isKeyReused: boolean },
  ): void {
    this.send(waiter, {
      kind: PeerReplyKind.JobAnswered,
      ...answer,
      epoch: this.#options.ownedEpochOf(shard) ?? UNCLAIMED_EPOCH,
    });
  }
}
