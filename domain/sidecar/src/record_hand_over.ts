/**
 * Hands the start records of a leaving runner to another runner, some at a time, so that the evidence
 * outlives the process. A runner that is leaving itself refuses, and another one is asked.
 */
import type { FleetFollower, Member } from "@eelgrassfront/membership";
import {
  type Milliseconds,
  type OutputCollector,
  OutputKind,
  type PeerReply,
  PeerReplyKind,
  PeerRequestKind,
  type ProcessIdentifier,
  type RequestIdentifier,
  type StartRecord,
} from "@eelgrassfront/model";

/** What a hand-over needs. */
export interface RecordHandOverOptions {
  readonly self: ProcessIdentifier;
  readonly collector: OutputCollector;
  readonly follower: FleetFollower;
}

/** How a hand-over stands. */
export enum RecordHandOverPhase {
  Waiting = "waiting",
  Sending = "sending",
  /** Another runner keeps every record. */
  Taken = "taken",
  /** No runner took the records in time. */
  GivenUp = "given-up",
}

const RECORDS_PER_MESSAGE = 500;
const PATIENCE_MILLISECONDS: Milliseconds = 3_000;

/** The start records on their way to another runner. */
export class RecordHandOver {
  readonly #options: RecordHandOverOptions;
  readonly #refusedBy = new Set<ProcessIdentifier>();
  #phase: RecordHandOverPhase = RecordHandOverPhase.Waiting;
  #records: readonly StartRecord[] = [];
  #startedAt: Milliseconds = 0;
  #outstanding: Outstanding | undefined;

  constructor(options: RecordHandOverOptions) {
    this.#options = options;
  }

  /** How the hand-over stands. */
  get phase(): RecordHandOverPhase {
    return this.#phase;
  }

  /** Begins once; later calls change nothing. */
  begin(records: readonly StartRecord[]): void {
    if (this.#phase !== RecordHandOverPhase.Waiting) return;
    this.#phase = RecordHandOverPhase.Sending;
    this.#records = records;
    this.#startedAt = this.#options.collector.now;
  }

  /** Sends what is due. */
  tick(): void {
    if (this.#phase !== RecordHandOverPhase.Sending) return;
    if (this.#records.length === 0) {
      this.#phase = RecordHandOverPhase.Taken;
      return;
    }
    const elapsed = this.#options.collector.now - this.#startedAt;
    const successor = this.#successor();
    if (successor === undefined || elapsed >= PATIENCE_MILLISECONDS) {
      this.#phase = RecordHandOverPhase.GivenUp;
      return;
    }
    if (this.#outstanding === undefined) this.#send(successor);
  }

  /** Takes an answer; false when it belongs to no message of this hand-over. */
  takeReply(request: RequestIdentifier, reply: PeerReply): boolean {
    if (request !== this.#outstanding?.request) return false;
    if (reply.kind === PeerReplyKind.RecordsTaken) {
      this.#records = this.#records.slice(RECORDS_PER_MESSAGE);
    } else this.#refusedBy.add(this.#outstanding.successor);
    this.#outstanding = undefined;
    return true;
  }

  /** Notes that a message will not be answered; false when it was none of this hand-over. */
  loseRequest(request: RequestIdentifier): boolean {
    if (request !== this.#outstanding?.request) return false;
    this.#refusedBy.add(this.#outstanding.successor);
    this.#outstanding = undefined;
    return true;
  }

  #successor(): Member | undefined {
    const { follower, self } = this.#options;
    return follower.view.sidecars().find(({ joined: { process } }) =>
      process !== self && !this.#refusedBy.has(process) &&
      follower.heartbeats.isReachable(process) &&
      !follower.heartbeats.isLeaving(process)
    );
  }

  #send({ joined: { process, address } }: Member): void {
    const { collector } = this.#options;
    const request = collector.nextRequest();
    this.#outstanding = { request, successor: process };
    collector.add({
      kind: OutputKind.SendRequest,
      request,
      peer: process,
      address,
      message: {
        kind: PeerRequestKind.HandOverRecords,
        records: this.#records.slice(0, RECORDS_PER_MESSAGE),
      },
    });
  }
}

interface Outstanding {
  readonly request: RequestIdentifier;
  readonly successor: ProcessIdentifier;
}
