/**
 * Hands the start records of a leaving runner to another runner, some at a time, so that the evidence
 * outlives the process. A runner that is leaving itself refuses, and another one is asked. The runner
 * beside the owner of a shard, or beside the owner before it, gets no record of that shard: the next owner
 * counts on it that the death of an owner takes no evidence of what started under it.
 */
import type { FleetMembership, FleetView } from "@eelgrassfront/membership";
import {
  type MemberJoined,
  type Milliseconds,
  type OutputCollector,
  OutputKind,
  type PeerReply,
  PeerReplyKind,
  PeerRequestKind,
  type ProcessIdentifier,
  type RequestIdentifier,
  type ShardNumber,
  type StartRecord,
} from "@eelgrassfront/model";

/** What a hand-over needs. */
export interface RecordHandOverOptions {
  readonly self: ProcessIdentifier;
  readonly collector: OutputCollector;
  readonly follower: FleetMembership;
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
    const batch = this.#nextBatch();
    if (batch === undefined || elapsed >= PATIENCE_MILLISECONDS) {
      this.#phase = RecordHandOverPhase.GivenUp;
      return;
    }
    if (this.#outstanding === undefined) this.#send(batch);
  }

  /** Takes an answer; false when it belongs to no message of this hand-over. */
  takeReply(request: RequestIdentifier, reply: PeerReply): boolean {
    if (request !== this.#outstanding?.request) return false;
    if (reply.kind === PeerReplyKind.RecordsAccepted) {
      const taken = new Set(this.#outstanding.records);
      this.#records = this.#records.filter((record) => !taken.has(record));
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

  /** The first successor that may keep some of the records, with as many as one message carries. */
  #nextBatch(): Batch | undefined {
    const { view } = this.#options.follower;
    for (const successor of this.#successors()) {
      const records = this.#records
        .filter(({ shard }) => !isOwnerOf(shard, successor.process, view))
        .slice(0, RECORDS_PER_MESSAGE);
      if (records.length > 0) return { successor, records };
    }
    return undefined;
  }

  #successors(): readonly MemberJoined[] {
    const { follower, self } = this.#options;
    return follower.view.sidecars()
      .map(({ joined }) => joined)
      .filter(({ process }) =>
        process !== self && !this.#refusedBy.has(process) &&
        follower.heartbeats.isReachable(process) &&
        !follower.heartbeats.isLeaving(process)
      );
  }

  #send({ successor, records }: Batch): void {
    const { collector } = this.#options;
    const { process, address } = successor;
    const request = collector.nextRequest();
    this.#outstanding = { request, successor: process, records };
    collector.add({
      kind: OutputKind.SendRequest,
      request,
      peer: process,
      address,
      message: { kind: PeerRequestKind.HandOverRecords, records },
    });
  }
}

/**
 * Whether a process owns a shard, or owned it before the present owner. The runner beside either must
 * not hold the evidence of what started in its time: when it is the only one that does not answer, the
 * next owner takes the evidence for complete.
 */
export function isOwnerOf(
  shard: ShardNumber,
  process: ProcessIdentifier,
  view: FleetView,
): boolean {
  const ownership = view.ownership.find(shard);
  return ownership?.owner === process || ownership?.previous?.owner === process;
}

interface Batch {
  readonly successor: MemberJoined;
  readonly records: readonly StartRecord[];
}

interface Outstanding {
  readonly request: RequestIdentifier;
  readonly successor: ProcessIdentifier;
  readonly records: readonly StartRecord[];
}
