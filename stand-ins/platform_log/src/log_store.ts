/**
 * Append-only log in memory. Appends are sequential and take as long as a synced write; only the latest
 * records are retained, and reads start at an offset.
 */

/** A stored record. */
export interface StoredRecord {
  readonly offset: number;
  readonly appendedAt: number;
  readonly record: unknown;
}

/** Records of a read, with the bounds of the log and its clock. */
export interface ReadResult {
  readonly firstRetained: number;
  readonly nextOffset: number;
  readonly isAtEnd: boolean;
  readonly logClock: number;
  readonly records: readonly StoredRecord[];
}

/** Duration of appends and number of retained records. */
export interface LogStoreOptions {
  /** Duration of a synced append. */
  readonly appendMilliseconds: number;
  /** Number of latest records that the log retains. */
  readonly retainedRecords: number;
}

const FIRST_OFFSET = 1;
const RECORDS_PER_READ = 1_000;

/** An append-only log in memory. */
export class LogStore {
  #options: LogStoreOptions;
  readonly #records: StoredRecord[] = [];
  readonly #readers = new Set<() => void>();
  #nextOffset = FIRST_OFFSET;
  #lastAppend: Promise<unknown> = Promise.resolve();
  #appends = 0;

  constructor(options: LogStoreOptions) {
    this.#options = options;
  }

  /** Number of appends since the start. */
  get appends(): number {
    return this.#appends;
  }

  /** Changes options for all later calls. */
  change(options: Partial<LogStoreOptions>): void {
    this.#options = { ...this.#options, ...options };
  }

  /** Appends a record; resolves with its offset when the record is synced. */
  append(record: unknown): Promise<number> {
    const append = this.#lastAppend.then(() => this.#sync(record));
    this.#lastAppend = append;
    return append;
  }

  /** Reads from an offset; waits for the first record for at most the given time. */
  async read(from: number, waitMilliseconds: number): Promise<ReadResult> {
    if (from >= this.#nextOffset && waitMilliseconds > 0) {
      await this.#waitForRecord(waitMilliseconds);
    }
    return this.#readNow(from);
  }

  async #sync(record: unknown): Promise<number> {
    await new Promise((resolve) =>
      setTimeout(resolve, this.#options.appendMilliseconds)
    );
    const offset = this.#nextOffset;
    this.#nextOffset += 1;
    this.#appends += 1;
    this.#records.push({ offset, appendedAt: performance.now(), record });
    const excess = this.#records.length - this.#options.retainedRecords;
    if (excess > 0) this.#records.splice(0, excess);
    for (const wake of this.#readers) wake();
    return offset;
  }

  #waitForRecord(waitMilliseconds: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.#readers.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMilliseconds);
      this.#readers.add(wake);
    });
  }

  #readNow(from: number): ReadResult {
    const firstRetained = this.#records[0]?.offset ?? this.#nextOffset;
    const start = Math.max(0, from - firstRetained);
    const records = this.#records.slice(start, start + RECORDS_PER_READ);
    const last = records.at(-1)?.offset;
    const nextOffset = last === undefined ? this.#nextOffset : last + 1;
    return {
      firstRetained,
      nextOffset,
      isAtEnd: nextOffset >= this.#nextOffset,
      logClock: performance.now(),
      records,
    };
  }
}
