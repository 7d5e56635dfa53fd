/**
 * Cancellations of jobs that another entry holds: a client may cancel a job through any entry. The arbiter of the
 * job names its holder, which cancels it.
 */
import {
  assertNever,
  ClientAnswerKind,
  type DispatchOutput,
  type DispatchReply,
  DispatchReplyKind,
  type DispatchRequest,
  DispatchRequestKind,
  EventNumber,
  type OutputCollector,
  OutputKind,
  PeerReplyKind,
  type ProcessIdentifier,
  type RequestIdentifier,
} from "@eelgrassfront/model";
import type { JobAnswers } from "./job_answers.ts";

/** A process and its address for peers. */
export interface PeerReference {
  readonly process: ProcessIdentifier;
  readonly address: string;
}

/** Collaborators of `RemoteCancellations`. */
export interface RemoteCancellationsOptions {
  readonly collector: OutputCollector<DispatchOutput>;
  readonly answers: JobAnswers;
  /** The arbiter of a job; undefined if it is this entry. */
  readonly arbiterOf: (job: string) => PeerReference | undefined;
  /** The holder of a job of which this entry is the arbiter, unless it is this entry. */
  readonly holderOf: (job: string) => PeerReference | undefined;
}

interface PendingCancellation {
  readonly job: string;
  readonly client: RequestIdentifier;
}

/** Cancels jobs at the entries that hold them. */
export class RemoteCancellations {
  readonly #options: RemoteCancellationsOptions;
  readonly #pending = new Map<RequestIdentifier, PendingCancellation>();

  constructor(options: RemoteCancellationsOptions) {
    this.#options = options;
  }

  /** Cancels a job that this entry does not hold, and answers the client. */
  cancel(job: string, client: RequestIdentifier): void {
    const pending = { job, client };
    const arbiter = this.#options.arbiterOf(job);
    if (arbiter !== undefined) {
      this.#send(pending, arbiter, {
        kind: DispatchRequestKind.LocateJob,
        job,
      });
      return;
    }
    this.#cancelAt(pending, this.#options.holderOf(job));
  }

  /** Returns whether a request was sent from here and has no reply yet. */
  owns(request: RequestIdentifier): boolean {
    return this.#pending.has(request);
  }

  /** Handles the reply of an arbiter or a holder. */
  handleReply(request: RequestIdentifier, message: DispatchReply): void {
    const pending = this.#take(request);
    if (pending === undefined) return;
    switch (message.kind) {
      case DispatchReplyKind.JobLocated:
        this.#cancelAt(pending, message.holder);
        return;
      case DispatchReplyKind.JobCancelled:
        this.#answer(pending, ClientAnswerKind.Cancelled);
        return;
      case DispatchReplyKind.JobUnknown:
      case DispatchReplyKind.Misdirected:
      case PeerReplyKind.IncarnationMismatch:
      case DispatchReplyKind.JobClaimed:
      case DispatchReplyKind.JobHeld:
      case DispatchReplyKind.JobYielded:
      case DispatchReplyKind.SessionGranted:
      case DispatchReplyKind.SessionRenewed:
      case DispatchReplyKind.SessionPending:
      case DispatchReplyKind.TaskSettled:
      case DispatchReplyKind.CancellationAcknowledged:
      case DispatchReplyKind.LoadReported:
      case DispatchReplyKind.FleetStateExchanged:
      case DispatchReplyKind.CrashNoted:
        this.#answer(pending, ClientAnswerKind.NoSuchJob);
        return;
      default:
        assertNever(message);
    }
  }

  /** Handles the loss of a request: the arbiter or the holder has ended, and with it what it knew of the job. */
  handleLostRequest(request: RequestIdentifier): void {
    const pending = this.#take(request);
    if (pending !== undefined) {
      this.#answer(pending, ClientAnswerKind.NoSuchJob);
    }
  }

  #take(request: RequestIdentifier): PendingCancellation | undefined {
    const pending = this.#pending.get(request);
    this.#pending.delete(request);
    return pending;
  }

  #cancelAt(
    pending: PendingCancellation,
    holder: PeerReference | undefined,
  ): void {
    if (holder === undefined) {
      this.#answer(pending, ClientAnswerKind.NoSuchJob);
      return;
    }
    const { job } = pending;
    this.#send(pending, holder, {
      kind: DispatchRequestKind.CancelHeldJob,
      job,
    });
  }

  #send(
    pending: PendingCancellation,
    { process, address }: PeerReference,
    message: DispatchRequest,
  ): void {
    const { collector } = this.#options;
    const request = collector.nextRequest();
    this.#pending.set(request, pending);
    collector.add({
      kind: OutputKind.SendRequest,
      request,
      peer: process,
      address,
      message,
    });
  }

  #answer(
    { job, client }: PendingCancellation,
    kind: ClientAnswerKind.Cancelled | ClientAnswerKind.NoSuchJob,
  ): void {
    const { collector, answers } = this.#options;
    collector.record(
      EventNumber.JobCancelledElsewhere,
      "a client cancelled a job that this entry does not hold",
      { context: { job, outcome: kind } },
    );
    answers.answer(client, { kind });
  }
}
