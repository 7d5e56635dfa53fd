/**
 * Watches of entries on the worker's load. Each entry gets at most one reply per interval, so that a busy
 * worker sends no more updates than its entries can use.
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

/** Sources of the load and of its revision. */
export interface LoadWatchesOptions {
  readonly collector: OutputCollector<DispatchOutput>;
  readonly revision: () => number;
  readonly load: (entry: ProcessIdentifier) => WorkerLoad | undefined;
}

/** Answers the open watches, at most one for each entry, when the load changes. */
export class LoadWatches {
  readonly #options: LoadWatchesOptions;
  readonly #watches = new Map<ProcessIdentifier, Watch>();
  readonly #repliedAt = new Map<ProcessIdentifier, Milliseconds>();

  constructor(options: LoadWatchesOptions) {
    this.#options = options;
  }

  /** Adds a watch; it replaces and answers an earlier one of the same entry. */
  add(entry: ProcessIdentifier, watch: Watch): void {
    const earlier = this.#watches.get(entry);
    if (earlier !== undefined) this.#reply(entry, earlier);
    this.#watches.set(entry, watch);
  }

  /** Drops the watch of an entry. */
  remove(entry: ProcessIdentifier): void {
    this.#watches.delete(entry);
    this.#repliedAt.delete(entry);
  }

  /** Answers the watches whose entry knows an outdated load and whose interval has passed. */
  tick(): void {
    const { now } = this.#options.collector;
    for (const [entry, watch] of this.#watches) {
      if (!this.#isChanged(watch) || now < this.#dueAt(entry, watch)) continue;
      this.#reply(entry, watch);
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
    return (this.#repliedAt.get(entry) ?? -Infinity) + intervalMilliseconds;
  }

  #reply(entry: ProcessIdentifier, { request }: Watch): void {
    const { collector, load } = this.#options;
    this.#repliedAt.set(entry, collector.now);
    const current = load(entry);
    collector.add({
      kind: OutputKind.SendReply,
      to: entry,
      request,
      message: {
        kind: DispatchReplyKind.LoadReported,
        ...(current === undefined ? {} : { load: current }),
      },
    });
  }
}
