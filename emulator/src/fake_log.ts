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

/** Tells a reader what its read gave. */
export type LogReader = (input: PlatformLogInput) => void;

/** A process that reads and appends. */
export interface LogClient {
  readonly process: ProcessIdentifier;
  readonly tell: LogReader;
}

/** An append-only log. */
export class FakeLog {
  isAway = false;
  /** Share of appends whose answer is lost after they took effect. */
  answerLossProbability = 0;
  /** Time that an append takes beyond its usual time. */
  slownessMilliseconds: Milliseconds = 0;
  /** Processes that do not reach the log. */
  readonly cutOff = new Set<ProcessIdentifier>();
  readonly #options: FakeLogOptions;
  readonly #records: StoredRecord[] = [];
  readonly #waiting = new Set<() => void>();
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
  seed(record: LogRecord): void {
    this.#store(record);
  }

  /** Appends a record and tells the writer. */
  append(append: number, record: LogRecord, writer: LogReader): void {
    const { time, appendMilliseconds, random } = this.#options;
    if (this.isAway) {
      this.#tellInDoubt(append, writer);
      return;
    }
    const cost = appendMilliseconds + this.slownessMilliseconds;
    this.#syncedAt = Math.max(this.#syncedAt, time.now) + cost;
    time.after(this.#syncedAt - time.now, () => {
      const offset = this.#store(record);
      if (random.happens(this.answerLossProbability)) {
        this.#tellInDoubt(append, writer);
        return;
      }
      writer({ kind: InputKind.AppendConfirmed, append, offset });
    });
  }

  /** Appends what a process asks for, if it reaches the log. */
  appendFor({ process, tell }: LogClient, output: AppendRecord): void {
    if (this.cutOff.has(process)) this.#tellInDoubt(output.append, tell);
    else this.append(output.append, output.record, tell);
  }

  /** Reads for a process, if it reaches the log. */
  readFor({ process, tell }: LogClient, from: LogOffset): void {
    this.read(from, (input) => {
      tell(this.cutOff.has(process) ? this.#unavailable() : input);
    });
  }

  /** Reads from an offset; ends at the next record or after the waiting time. */
  read(from: LogOffset, reader: LogReader): void {
    const { time, readMilliseconds, waitMilliseconds } = this.#options;
    const readStartedAt = time.now;
    if (this.isAway) {
      time.after(
        UNAVAILABLE_MILLISECONDS,
        () => reader(this.#unavailable()),
      );
      return;
    }
    let isAnswered = false;
    const answer = () => {
      if (isAnswered) return;
      isAnswered = true;
      this.#waiting.delete(answer);
      time.after(
        readMilliseconds,
        () => reader(this.#readNow(from, readStartedAt)),
      );
    };
    if (from < this.#nextOffset()) answer();
    else {
      this.#waiting.add(answer);
      time.after(waitMilliseconds, answer);
    }
  }

  #store(record: LogRecord): LogOffset {
    const offset = this.#nextOffset();
    const appendedAt = this.#options.time.now;
    this.#records.push({ offset, appendedAt, record });
    for (const wake of [...this.#waiting]) wake();
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

  #tellInDoubt(append: number, writer: LogReader): void {
    this.#options.time.after(
      UNAVAILABLE_MILLISECONDS,
      () =>
        writer({
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
