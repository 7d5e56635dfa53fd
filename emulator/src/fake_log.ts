/**
 * Fake of the platform's log in virtual time: serialised appends with a delay, outages, and answers that are
 * lost after the append took effect.
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

/** Delays of a `FakeLog`. */
export interface FakeLogOptions {
  readonly time: VirtualTime;
  readonly random: SeededRandom;
  readonly appendMilliseconds: Milliseconds;
  readonly readMilliseconds: Milliseconds;
  /** Time after which a read that waits at the end of the log returns without records. */
  readonly waitMilliseconds: Milliseconds;
}

const FIRST_OFFSET: LogOffset = 1;
/** Time until a call that the log does not answer is reported as failed. */
const UNAVAILABLE_MILLISECONDS: Milliseconds = 200;

/** Receives the result of a read or an append. */
export type LogReplyHandler = (input: PlatformLogInput) => void;

/** A process that reads and appends, with the callback for its results. */
export interface LogClient {
  readonly process: ProcessIdentifier;
  readonly reply: LogReplyHandler;
}

/** An append-only log in memory. */
export class FakeLog {
  /** Whether the log is unavailable to every process. */
  isUnavailable = false;
  /** Probability that the answer of an append is lost after the append took effect. */
  answerLossProbability = 0;
  /** Time that is added to each append. */
  additionalAppendMilliseconds: Milliseconds = 0;
  /** Processes that cannot reach the log. */
  readonly partitioned = new Set<ProcessIdentifier>();
  readonly #options: FakeLogOptions;
  readonly #records: StoredRecord[] = [];
  readonly #waitingReads = new Set<() => void>();
  #syncedAt: Milliseconds = 0;
  #firstRetained: LogOffset = FIRST_OFFSET;

  constructor(options: FakeLogOptions) {
    this.#options = options;
  }

  /** Every record that was ever appended, dropped ones included. */
  get records(): readonly StoredRecord[] {
    return this.#records;
  }

  /** Drops the records before an offset for readers, as limited retention does. */
  dropBefore(offset: LogOffset): void {
    this.#firstRetained = Math.max(this.#firstRetained, offset);
  }

  /** Appends a record without delay, before the run. */
  preload(record: LogRecord): void {
    this.#store(record);
  }

  /** Appends a record and reports the result; the result is indeterminate during an outage. */
  append(append: number, record: LogRecord, reply: LogReplyHandler): void {
    const { time, appendMilliseconds, random } = this.#options;
    if (this.isUnavailable) {
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

  /** Appends a record for a process; the result is indeterminate when the process cannot reach the log. */
  appendFor({ process, reply }: LogClient, output: AppendRecord): void {
    if (this.partitioned.has(process)) this.#replyUnknown(output.append, reply);
    else this.append(output.append, output.record, reply);
  }

  /** Reads for a process; reports the log as unavailable when the process cannot reach it. */
  readFor({ process, reply }: LogClient, from: LogOffset): void {
    this.read(from, (input) => {
      reply(this.partitioned.has(process) ? this.#unavailable() : input);
    });
  }

  /** Reads from an offset; at the end of the log, waits for the next record or until the waiting time is over. */
  read(from: LogOffset, reply: LogReplyHandler): void {
    const { time, readMilliseconds, waitMilliseconds } = this.#options;
    const readStartedAt = time.now;
    if (this.isUnavailable) {
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
    if (this.isUnavailable) return this.#unavailable();
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
