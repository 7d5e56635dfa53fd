/**
 * Keyed topic of the stand-in for the store: its records by offset, and the newest record of each key.
 */

/** A record with its offset. */
export interface TopicRecord {
  readonly offset: number;
  readonly key: string;
  readonly value: Buffer;
}

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;

/** Keyed topic with one partition, in memory. */
export class KeyedTopic {
  readonly #newest = new Map<string, TopicRecord>();
  #records: TopicRecord[] = [];
  #endOffset = 0;
  #waiters: (() => void)[] = [];

  /** Offset of the next record. */
  get endOffset(): number {
    return this.#endOffset;
  }

  /** Oldest retained offset. */
  get firstOffset(): number {
    return this.#records[0]?.offset ?? this.#endOffset;
  }

  /** The newest record of each key. */
  get newest(): readonly TopicRecord[] {
    return [...this.#newest.values()];
  }

  /** Appends a record and returns its offset; an empty value deletes the key. */
  append(key: string, value: Buffer): number {
    const record = { offset: this.#endOffset, key, value };
    this.#endOffset += 1;
    this.#records.push(record);
    if (value.length === 0) this.#newest.delete(key);
    else this.#newest.set(key, record);
    for (const wake of this.#waiters.splice(0)) wake();
    return record.offset;
  }

  /** Deletes all records by offset; the newest record of each key is retained. */
  deleteHistory(): void {
    this.#records = [];
  }

  /** Waits for a record at or after the offset, but no longer than the given time. */
  async waitFor(offset: number, milliseconds: number): Promise<void> {
    if (this.#endOffset > offset || milliseconds === 0) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, milliseconds);
      this.#waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  /** Encodes the answer to a read: end offset, first offset, and the records from the given offset on. */
  encodeFrom(offset: number): Buffer {
    const head = Buffer.alloc(2 * OFFSET_BYTES);
    head.writeBigUInt64BE(BigInt(this.#endOffset), 0);
    head.writeBigUInt64BE(BigInt(this.firstOffset), OFFSET_BYTES);
    const records = this.#records
      .filter((record) => record.offset >= offset)
      .map(encodeRecord);
    return Buffer.concat([head, ...records]);
  }

  /** Appends the records in the body of an append call and returns the first offset. */
  appendEncoded(body: Buffer): number {
    const first = this.#endOffset;
    let position = 0;
    while (position + LENGTH_BYTES <= body.length) {
      const length = body.readUInt32BE(position);
      const content = body.subarray(
        position + LENGTH_BYTES,
        position + LENGTH_BYTES + length,
      );
      position += LENGTH_BYTES + length;
      const keyLength = content[0] ?? 0;
      const key = content.subarray(1, 1 + keyLength).toString();
      this.append(key, Buffer.from(content.subarray(1 + keyLength)));
    }
    return first;
  }
}

function encodeRecord({ key, value }: TopicRecord): Buffer {
  const keyBytes = Buffer.from(key);
  const head = Buffer.alloc(LENGTH_BYTES + 1);
  head.writeUInt32BE(1 + keyBytes.length + value.length, 0);
  head.writeUInt8(keyBytes.length, LENGTH_BYTES);
  return Buffer.concat([head, keyBytes, value]);
}
