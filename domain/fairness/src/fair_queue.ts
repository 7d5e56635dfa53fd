/**
 * A queue that serves the submission that has received least run time. A single task never waits
 * behind the whole of a large job, and a large job still advances whenever others have nothing to run.
 */
import type { Milliseconds, SubmissionIdentifier } from "@eelgrassfront/model";

/** What the queue knows of a waiting item. */
export interface QueueTicket {
  readonly submission: SubmissionIdentifier;
  readonly team: string;
  readonly kindOfWork: string;
  /** Run time that the submission has received elsewhere. */
  readonly servedMilliseconds: Milliseconds;
}

interface Group<Item> {
  readonly arrival: number;
  readonly items: Item[];
  servedMilliseconds: Milliseconds;
}

/** Items waiting for service, taken least-served submission first. */
export class FairQueue<Item> {
  readonly #groups = new Map<SubmissionIdentifier, Group<Item>>();
  #arrivals = 0;
  #size = 0;

  /** Number of waiting items. */
  get size(): number {
    return this.#size;
  }

  /** Adds an item behind the others of its submission. */
  add(ticket: QueueTicket, item: Item): void {
    const group = this.#groupOf(ticket);
    group.servedMilliseconds = Math.max(
      group.servedMilliseconds,
      ticket.servedMilliseconds,
    );
    group.items.push(item);
    this.#size += 1;
  }

  /** Takes the next item, or undefined when nothing waits. */
  take(): Item | undefined {
    const next = this.#leastServed();
    if (next === undefined) return undefined;
    const [submission, group] = next;
    const item = group.items.shift();
    if (group.items.length === 0) this.#groups.delete(submission);
    this.#size -= 1;
    return item;
  }

  /** Counts run time that a submission has received. */
  charge(submission: SubmissionIdentifier, served: Milliseconds): void {
    const group = this.#groups.get(submission);
    if (group !== undefined) group.servedMilliseconds += served;
  }

  /** Removes and returns every item that matches. */
  removeWhere(matches: (item: Item) => boolean): readonly Item[] {
    const removed: Item[] = [];
    for (const [submission, group] of this.#groups) {
      const kept = group.items.filter((item) => !matches(item));
      if (kept.length === group.items.length) continue;
      removed.push(...group.items.filter(matches));
      group.items.splice(0, group.items.length, ...kept);
      if (kept.length === 0) this.#groups.delete(submission);
    }
    this.#size -= removed.length;
    return removed;
  }

  #groupOf(ticket: QueueTicket): Group<Item> {
    const known = this.#groups.get(ticket.submission);
    if (known !== undefined) return known;
    this.#arrivals += 1;
    const group = {
      arrival: this.#arrivals,
      items: [],
      servedMilliseconds: ticket.servedMilliseconds,
    };
    this.#groups.set(ticket.submission, group);
    return group;
  }

  #leastServed(): [SubmissionIdentifier, Group<Item>] | undefined {
    let least: [SubmissionIdentifier, Group<Item>] | undefined;
    for (const entry of this.#groups) {
      if (least === undefined || isServedLess(entry[1], least[1])) {
        least = entry;
      }
    }
    return least;
  }
}

function isServedLess<Item>(left: Group<Item>, right: Group<Item>): boolean {
  if (left.servedMilliseconds !== right.servedMilliseconds) {
    return left.servedMilliseconds < right.servedMilliseconds;
  }
  return left.arrival < right.arrival;
}
