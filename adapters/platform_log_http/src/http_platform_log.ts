/**
 * HTTP client of the platform's log. `GET /records` reads from an offset and waits briefly for new
 * records; `POST /records` appends a record and responds after the record is synced.
 */
import {
  type AppendRecord,
  ErrorTag,
  InputKind,
  type LogOffset,
  type Milliseconds,
  type PlatformLogInput,
  type ProcessError,
  Step,
  type StoredRecord,
} from "@eelgrassfront/model";
import type { PlatformLogPort } from "@eelgrassfront/ports";
import { createAdapter } from "@most/adapter";
import type { Stream } from "@most/types";
import { Pool } from "undici";
import * as zod from "zod";
import { isLogRecord } from "./log_record_schema.ts";

/** Address of the log, and how long a read waits. */
export interface HttpPlatformLogOptions {
  /** Origin, as `http://host:port`. */
  readonly origin: string;
  /** Longest time that a read waits for new records. */
  readonly waitMilliseconds: Milliseconds;
}

const REQUEST_TIMEOUT_MILLISECONDS: Milliseconds = 2_000;
const RETRY_MILLISECONDS: Milliseconds = 200;
const CONNECTIONS = 4;
const FIRST_OFFSET: LogOffset = 1;

const readSchema = zod.object({
  firstRetained: zod.number().int(),
  nextOffset: zod.number().int(),
  isAtEnd: zod.boolean(),
  logClock: zod.number(),
  records: zod.array(zod.object({
    offset: zod.number().int(),
    appendedAt: zod.number(),
    record: zod.unknown(),
  })),
});
const appendSchema = zod.object({ offset: zod.number().int().positive() });

/** Reads and appends records with undici. */
export class HttpPlatformLog implements PlatformLogPort {
  readonly inputs: Stream<PlatformLogInput>;
  readonly #emit: (input: PlatformLogInput) => void;
  readonly #options: HttpPlatformLogOptions;
  readonly #pool: Pool;
  #nextOffset: LogOffset = FIRST_OFFSET;
  #timer: NodeJS.Timeout | undefined;
  #isDisposed = false;

  constructor(options: HttpPlatformLogOptions) {
    [this.#emit, this.inputs] = createAdapter<PlatformLogInput>();
    this.#options = options;
    this.#pool = new Pool(options.origin, {
      connections: CONNECTIONS,
      connect: { timeout: REQUEST_TIMEOUT_MILLISECONDS },
    });
  }

  /** Starts to read. */
  start(): void {
    void this.#readLoop();
  }

  perform(output: AppendRecord): void {
    void this.#append(output);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#isDisposed = true;
    clearTimeout(this.#timer);
    await this.#pool.destroy();
  }

  async #readLoop(): Promise<void> {
    while (!this.#isDisposed) {
      const isRead = await this.#read();
      if (!isRead) await this.#pause();
    }
  }

  async #read(): Promise<boolean> {
    const readStartedAt = performance.now();
    const { waitMilliseconds } = this.#options;
    try {
      const response = await this.#pool.request({
        method: "GET",
        path: "/records",
        query: { from: this.#nextOffset, waitMilliseconds },
        ...timeoutsOf(waitMilliseconds),
      });
      const read = readSchema.parse(await response.body.json());
      this.#nextOffset = read.nextOffset;
      this.#emit({
        ...read,
        ...partitionRecords(read.records),
        kind: InputKind.LogRecordsRead,
        readStartedAt,
      });
      return true;
    } catch (cause) {
      if (this.#isDisposed) return false;
      const error = this.#errorAt(Step.ReadLog, cause);
      this.#emit({ kind: InputKind.LogUnavailable, error });
      return false;
    }
  }

  async #append({ append, record }: AppendRecord): Promise<void> {
    try {
      const response = await this.#pool.request({
        method: "POST",
        path: "/records",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(record),
        ...timeoutsOf(0),
      });
      const { offset } = appendSchema.parse(await response.body.json());
      this.#emit({ kind: InputKind.AppendConfirmed, append, offset });
    } catch (cause) {
      if (this.#isDisposed) return;
      const error = this.#errorAt(Step.AppendLog, cause);
      this.#emit({ kind: InputKind.AppendIndeterminate, append, error });
    }
  }

  #errorAt(step: Step, cause: unknown): ProcessError {
    const isTimeout = cause instanceof Error && cause.name === "TimeoutError";
    return {
      tag: isTimeout ? ErrorTag.TimedOut : ErrorTag.ConnectionLost,
      step,
      peer: this.#options.origin,
      detail: String(cause),
    };
  }

  #pause(): Promise<void> {
    return new Promise((resolve) => {
      this.#timer = setTimeout(resolve, RETRY_MILLISECONDS);
    });
  }
}

interface ReadRecord {
  readonly offset: LogOffset;
  readonly appendedAt: Milliseconds;
  readonly record?: unknown;
}

/** Separates the valid records from those that violate the protocol. */
function partitionRecords(read: readonly ReadRecord[]): {
  readonly records: readonly StoredRecord[];
  readonly invalidOffsets: readonly LogOffset[];
} {
  const records: StoredRecord[] = [];
  const invalidOffsets: LogOffset[] = [];
  for (const { offset, appendedAt, record } of read) {
    if (isLogRecord(record, offset)) {
      records.push({ offset, appendedAt, record });
    } else invalidOffsets.push(offset);
  }
  return { records, invalidOffsets };
}

/**
 * Sets the timeouts of undici for one request. An abort signal for each request would stay registered
 * with the signal that ends all requests.
 */
function timeoutsOf(waitMilliseconds: Milliseconds) {
  const timeout = waitMilliseconds + REQUEST_TIMEOUT_MILLISECONDS;
  return { headersTimeout: timeout, bodyTimeout: timeout };
}
