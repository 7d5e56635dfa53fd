/**
 * Mutations for tests: each one disables a mechanism. A mutation wraps the state machine of every process
 * and changes its inputs or outputs, so that production code needs no switch for it.
 */
import {
  type Decisions,
  InputKind,
  JobOutcomeKind,
  type LogRecordsRead,
  type Milliseconds,
  OutputKind,
  type PeerReply,
  PeerReplyKind,
  type PeerRequest,
  PeerRequestKind,
  type ProcessInput,
  type ProcessOutput,
  type SendRequest,
  type StartRecordsCollected,
  type StartTask,
  TaskRefusalReason,
  UNCLAIMED_EPOCH,
} from "@eelgrassfront/model";

/** Mechanisms that a mutation can disable. */
export enum Mutation {
  /** Runners return their start records but do not fence the previous owner. */
  FenceRemoved = "fence-removed",
  /** Runners start tasks but return no start records to a later owner. */
  StartRecordsOmitted = "start-record-skipped",
  /** Owners omit the last result from completed answers. */
  AnswerIncomplete = "answer-incomplete",
  /** Processes treat every log read as recent, so that their leases do not expire. */
  LeaseSkipped = "lease-skipped",
  /** Claimants assume that runners have no start records, without a request. */
  StartRecordCollectionSkipped = "evidence-skipped",
  /** Processes revert to their first configuration. */
  OlderConfigurationApplied = "older-configuration-taken",
  /** Owners assume that a task is cancelled, without a request to its runner. */
  CancellationSkipped = "withdrawal-skipped",
  /** Runners forget which attempts they refused. */
  RefusedAttemptForgotten = "refused-attempt-forgotten",
  /** Messages for an earlier incarnation of a process reach the current one. */
  IncarnationsMixed = "incarnations-mixed",
  /** Owners reply with the answer to the previous request. */
  AnswersSwapped = "answers-crossed",
  /** Processes ignore drain requests and keep starting tasks. */
  DrainIgnored = "leaving-ignored",
}

/** Decorates a state machine so that one mechanism is disabled. */
export class MutatedDecisions implements Decisions {
  readonly #decisions: Decisions;
  readonly #mutation: Mutation;
  readonly #copies = new Map<string, number>();
  #firstConfiguration: ProcessOutput | undefined;
  #lastAnswer: PeerReply | undefined;

  constructor(decisions: Decisions, mutation: Mutation) {
    this.#decisions = decisions;
    this.#mutation = mutation;
  }

  step(now: Milliseconds, input: ProcessInput): readonly ProcessOutput[] {
    const outputs = this.#decisions.step(now, this.#mutateInput(now, input));
    return this.#mutateOutputs(now, outputs);
  }

  nextAlarm(): Milliseconds | undefined {
    return this.#decisions.nextAlarm();
  }

  #mutateInput(now: Milliseconds, input: ProcessInput): ProcessInput {
    if (input.kind === InputKind.LogRecordsRead) {
      return this.#mutateRead(now, input);
    }
    if (input.kind === InputKind.PeerRequestArrived) {
      return { ...input, message: this.#mutateRequest(input.message) };
    }
    const isIgnored = this.#mutation === Mutation.DrainIgnored &&
      input.kind === InputKind.DrainRequested;
    return isIgnored ? { kind: InputKind.AlarmFired } : input;
  }

  #mutateRead(now: Milliseconds, input: LogRecordsRead): ProcessInput {
    if (this.#mutation !== Mutation.LeaseSkipped) return input;
    return { ...input, readStartedAt: now + LEASE_EXTENSION_MILLISECONDS };
  }

  #mutateRequest(message: PeerRequest): PeerRequest {
    const isUnfenced = this.#mutation === Mutation.FenceRemoved &&
      message.kind === PeerRequestKind.CollectStartRecords;
    if (isUnfenced) {
      const unfence = ({ shard }: { readonly shard: number }) => ({
        shard,
        epoch: UNCLAIMED_EPOCH,
      });
      return { ...message, shards: message.shards.map(unfence) };
    }
    const isForgotten = this.#mutation === Mutation.RefusedAttemptForgotten &&
      message.kind === PeerRequestKind.StartTask;
    return isForgotten ? this.#renumber(message) : message;
  }

  /** Gives each copy of a start request its own attempt number, so that no recorded refusal matches. */
  #renumber(message: StartTask): StartTask {
    const { submission, taskIndex, epoch, attempt } = message;
    const name = `${submission}#${taskIndex}.${epoch}.${attempt}`;
    const copies = (this.#copies.get(name) ?? 0) + 1;
    this.#copies.set(name, copies);
    return { ...message, attempt: attempt + (copies - 1) * ATTEMPT_OFFSET };
  }

  #mutateOutputs(
    now: Milliseconds,
    outputs: readonly ProcessOutput[],
  ): readonly ProcessOutput[] {
    return outputs.flatMap((output) => {
      if (output.kind === OutputKind.SendReply) {
        return [{ ...output, message: this.#mutateReply(output.message) }];
      }
      if (output.kind === OutputKind.SendRequest) {
        return this.#mutateSentRequest(now, output);
      }
      return output.kind === OutputKind.ApplyConfiguration
        ? this.#mutateConfiguration(output)
        : [output];
    });
  }

  #mutateReply(message: PeerReply): PeerReply {
    const areRecordsOmitted = this.#mutation === Mutation.StartRecordsOmitted &&
      message.kind === PeerReplyKind.StartRecordsCollected;
    if (areRecordsOmitted) return { ...message, records: [] };
    if (message.kind !== PeerReplyKind.JobAnswered) return message;
    if (this.#mutation === Mutation.AnswerIncomplete) {
      return dropLastResult(message);
    }
    if (this.#mutation !== Mutation.AnswersSwapped) return message;
    const earlier = this.#lastAnswer ?? message;
    this.#lastAnswer = message;
    return earlier;
  }

  #mutateSentRequest(
    now: Milliseconds,
    output: SendRequest,
  ): readonly ProcessOutput[] {
    const isCollectionSkipped =
      this.#mutation === Mutation.StartRecordCollectionSkipped &&
      output.message.kind === PeerRequestKind.CollectStartRecords;
    if (isCollectionSkipped) return this.#reply(now, output, NO_START_RECORDS);
    const isCancellationSkipped =
      this.#mutation === Mutation.CancellationSkipped &&
      output.message.kind === PeerRequestKind.CancelTask;
    if (isCancellationSkipped) return this.#reply(now, output, CANCELLED);
    return [output];
  }

  /** Replies to a request of the wrapped state machine instead of sending it. */
  #reply(
    now: Milliseconds,
    { peer, request }: SendRequest,
    message: PeerReply,
  ): readonly ProcessOutput[] {
    return this.step(now, {
      kind: InputKind.PeerReplyArrived,
      from: peer,
      request,
      message,
    });
  }

  #mutateConfiguration(output: ProcessOutput): readonly ProcessOutput[] {
    if (this.#mutation !== Mutation.OlderConfigurationApplied) return [output];
    this.#firstConfiguration ??= output;
    return [output, this.#firstConfiguration];
  }
}

const LEASE_EXTENSION_MILLISECONDS: Milliseconds = 1_000_000;
const ATTEMPT_OFFSET = 1_000_000;

const NO_START_RECORDS: StartRecordsCollected = {
  kind: PeerReplyKind.StartRecordsCollected,
  records: [],
  fenced: [],
};

const CANCELLED: PeerReply = {
  kind: PeerReplyKind.TaskRefused,
  reason: TaskRefusalReason.Cancelled,
  knownEpoch: UNCLAIMED_EPOCH,
  load: {
    slots: 1,
    running: 0,
    queued: 0,
    expectedWaitMilliseconds: 0,
    isLeaving: false,
  },
};

function dropLastResult(message: PeerReply): PeerReply {
  const isCompleted = message.kind === PeerReplyKind.JobAnswered &&
    message.outcome.kind === JobOutcomeKind.Completed;
  if (!isCompleted) return message;
  const results = message.outcome.results.slice(0, -1);
  return { ...message, outcome: { ...message.outcome, results } };
}
