/**
 * Entries that want to hear of changes of the load. An entry is told at most once in a while, so that a
 * busy worker sends no more than its entries can use.
 */
import {
  type DispatchOutput,
  DispatchReplyKind,
  type Milliseconds,
  type OutputCollector,
  OutputKind,
  type ProcessIdentifier,
  type RequestIdentifier,
  type WorkerLoad,
} from "@eelgrassfront/model";

interface Watch {
  readonly request: RequestIdentifier;
  readonly knownRevision: number;
  readonly intervalMilliseconds: Milliseconds;
}

/** What the watches need. */
export interface LoadWatchesOptions {
  readonly collector: OutputCollector<DispatchOutput>;
  readonly revision: () => number;
  readonly load: (entry: ProcessIdentifier) => WorkerLoad | undefined;
}

/** Watches of entries. */
export class LoadWatches {
  readonly #options: LoadWatchesOptions;
  readonly #watches = new Map<ProcessIdentifier, Watch>();
  readonly #toldAt = new Map<ProcessIdentifier, Milliseconds>();

  constructor(options: LoadWatchesOptions) {
    this.#options = options;
  }

  /** Takes a watch; it replaces an earlier one of the same entry. */
  add(entry: ProcessIdentifier, watch: Watch): void {
    const earlier = this.#watches.get(entry);
    if (earlier !== undefined) this.#tell(entry, earlier);
    this.#watches.set(entry, watch);
  }

  /** Forgets an entry. */
  forget(entry: ProcessIdentifier): void {
    this.#watches.delete(entry);
    this.#toldAt.delete(entry);
  }

  /** Answers the watches whose load is another than the known one. */
  tick(): void {
    const { now } = this.#options.collector;
    for (const [entry, watch] of this.#watches) {
      if (!this.#isChanged(watch) || now < this.#dueAt(entry, watch)) continue;
      this.#tell(entry, watch);
      this.#watches.delete(entry);
    }
  }

  /** When the next answer is due. */
  nextAlarm(): Milliseconds | undefined {
    const times = [...this.#watches]
      .filter(([, watch]) => this.#isChanged(watch))
      .map(([entry, watch]) => this.#dueAt(entry, watch));
    return times.length === 0 ? undefined : Math.min(...times);
  }

  #isChanged({ knownRevision }: Watch): boolean {
    return knownRevision !== this.#options.revision();
  }

  #dueAt(
    entry: ProcessIdentifier,
    { intervalMilliseconds }: Watch,
  ): Milliseconds {
    return (this.#toldAt.get(entry) ?? -Infinity) + intervalMilliseconds;
  }

  #tell(entry: ProcessIdentifier, { request }: Watch): void {
    const { collector, load } = this.#options;
    this.#toldAt.set(entry, collector.now);
    const told = load(entry);
    collector.add({
      kind: OutputKind.SendReply,
      to: entry,
      request,
      message: {
        kind: DispatchReplyKind.LoadReported,
        ...(told === undefined ? {} : { load: told }),
      },
    });
  }
}
