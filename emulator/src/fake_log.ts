/**
 * The platform's log in virtual time: synced appends with a delay, outages, and answers that are lost
 * after the append took effect.
 */
import {
  type AppendRecord,
  ErrorTag,
  InputKind,
  type LogOffset,
  type LogRecord,
  type Milliseconds,
  type PlatformLogInput,
  type ProcessError,
  type ProcessIdentifier,
  Step,
  type StoredRecord,
} from "@eelgrassfront/model";
import type { SeededRandom } from "./seeded_random.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** How the log behaves. */
export interface FakeLogOptions {
  readonly time: VirtualTime;
  readonly random: SeededRandom;
  readonly appendMilliseconds: Milliseconds;
  readonly readMilliseconds: Milliseconds;
  /** Time after which a waiting read ends without a record. */
  readonly waitMilliseconds: Milliseconds;
}

const FIRST_OFFSET: LogOffset = 1;
const UNAVAILABLE_MILLISECONDS: Milliseconds = 200;

/** Tells a reply what its read gave. */
export type LogReplyHandler = (input: PlatformLogInput) => void;

/** A process that reads and appends. */
export interface LogClient {
  readonly process: ProcessIdentifier;
  readonly reply: LogReplyHandler;
}

/** An append-only log. */
export class FakeLog {
  isAway = false;
  /** Share of appends whose answer is lost after they took effect. */
  answerLossProbability = 0;
  /** Time that an append takes beyond its usual time. */
  additionalAppendMilliseconds: Milliseconds = 0;
  /** Processes that do not reach the log. */
  readonly partitioned = new Set<ProcessIdentifier>();
  readonly #options: FakeLogOptions;
  readonly #records: StoredRecord[] = [];
  readonly #waitingReads = new Set<() => void>();
  #syncedAt: Milliseconds = 0;
  #firstRetained: LogOffset = FIRST_OFFSET;

  constructor(options: FakeLogOptions) {
    this.#options = options;
  }

  /** Every record that the log keeps. */
  get records(): readonly StoredRecord[] {
    return this.#records;
  }

  /** Drops records below an offset, as limited retention does. */
  dropBefore(offset: LogOffset): void {
    this.#firstRetained = Math.max(this.#firstRetained, offset);
  }

  /** Appends a record at once, before the run. */
  preload(record: LogRecord): void {
    this.#store(record);
  }

  /** Appends a record and tells the reply. */
  append(append: number, record: LogRecord, reply: LogReplyHandler): void {
    const { time, appendMilliseconds, random } = this.#options;
    if (this.isAway) {
      this.#replyUnknown(append, reply);
      return;
    }
    const cost = appendMilliseconds + this.additionalAppendMilliseconds;
    this.#syncedAt = Math.max(this.#syncedAt, time.now) + cost;
    time.after(this.#syncedAt - time.now, () => {
      const offset = this.#store(record);
      if (random.happens(this.answerLossProbability)) {
        this.#replyUnknown(append, reply);
        return;
      }
      reply({ kind: InputKind.AppendConfirmed, append, offset });
    });
  }

  /** Appends what a process asks for, if it reaches the log. */
  appendFor({ process, reply }: LogClient, output: AppendRecord): void {
    if (this.partitioned.has(process)) this.#replyUnknown(output.append, reply);
    else this.append(output.append, output.record, reply);
  }

  /** Reads for a process, if it reaches the log. */
  readFor({ process, reply }: LogClient, from: LogOffset): void {
    this.read(from, (input) => {
      reply(this.partitioned.has(process) ? this.#unavailable() : input);
    });
  }

  /** Reads from an offset; ends at the next record or after the waiting time. */
  read(from: LogOffset, reply: LogReplyHandler): void {
    const { time, readMilliseconds, waitMilliseconds } = this.#options;
    const readStartedAt = time.now;
    if (this.isAway) {
      time.after(
        UNAVAILABLE_MILLISECONDS,
        () => reply(this.#unavailable()),
      );
      return;
    }
    let hasEnded = false;
    const end = () => {
      if (hasEnded) return;
      hasEnded = true;
      this.#waitingReads.delete(end);
      time.after(
        readMilliseconds,
        () => reply(this.#readNow(from, readStartedAt)),
      );
    };
    if (from < this.#nextOffset()) end();
    else {
      this.#waitingReads.add(end);
      time.after(waitMilliseconds, end);
    }
  }

  #store(record: LogRecord): LogOffset {
    const offset = this.#nextOffset();
    const appendedAt = this.#options.time.now;
    this.#records.push({ offset, appendedAt, record });
    for (const wake of [...this.#waitingReads]) wake();
    return offset;
  }

  #nextOffset(): LogOffset {
    return FIRST_OFFSET + this.#records.length;
  }

  #readNow(from: LogOffset, readStartedAt: Milliseconds): PlatformLogInput {
    if (this.isAway) return this.#unavailable();
    const first = Math.max(from, this.#firstRetained);
    return {
      kind: InputKind.LogRecordsRead,
      records: this.#records.slice(first - FIRST_OFFSET),
      firstRetained: this.#firstRetained,
      nextOffset: this.#nextOffset(),
      isAtEnd: true,
      readStartedAt,
      logClock: this.#options.time.now,
    };
  }

  #unavailable(): PlatformLogInput {
    return { kind: InputKind.LogUnavailable, error: logError(Step.ReadLog) };
  }

  #replyUnknown(append: number, reply: LogReplyHandler): void {
    this.#options.time.after(
      UNAVAILABLE_MILLISECONDS,
      () =>
        reply({
          kind: InputKind.AppendIndeterminate,
          append,
          error: logError(Step.AppendLog),
        }),
    );
  }
}

function logError(step: Step): ProcessError {
  const detail = "the log did not answer";
  return { tag: ErrorTag.ConnectionLost, step, peer: "platform log", detail };
}
