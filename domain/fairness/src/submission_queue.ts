/**
 * Queue of one team's waiting items, grouped by submission, least-served submission first. A submission
 * that has waited for long becomes urgent and goes first, so that new submissions cannot starve a large
 * job.
 */
import type { Milliseconds, SubmissionIdentifier } from "@eelgrassfront/model";
import { IndexedPriorityQueue } from "./indexed_priority_queue.ts";

/** Properties of a submission that determine its place in the queue. */
export interface QueuedSubmission {
  readonly submission: SubmissionIdentifier;
  /** Run time that the submission has received or is about to receive, at any runner. */
  readonly servedMilliseconds: Milliseconds;
  /** Time of arrival; breaks ties between equally served submissions. */
  readonly arrivedAt: Milliseconds;
  /** Time from which the submission goes before less-served ones; never when absent. */
  readonly urgentAt?: Milliseconds;
}

interface Group<Item> {
  readonly items: Item[];
  readonly arrivedAt: Milliseconds;
  servedMilliseconds: Milliseconds;
}

/** Whether received service determines the order of submissions. */
export enum ServiceAccounting {
  Counted = "counted",
  Ignored = "ignored",
}

/** Waiting items of one team, grouped by submission. */
export class SubmissionQueue<Item> {
  readonly #serviceAccounting: ServiceAccounting;
  readonly #groups = new IndexedPriorityQueue<
    SubmissionIdentifier,
    Group<Item>
  >();
  readonly #byUrgency = new IndexedPriorityQueue<
    SubmissionIdentifier,
    Group<Item>
  >();
  #size = 0;

  constructor(serviceAccounting: ServiceAccounting) {
    this.#serviceAccounting = serviceAccounting;
  }

  /** Number of waiting items. */
  get size(): number {
    return this.#size;
  }

  /** Number of submissions with waiting items. */
  get submissions(): number {
    return this.#groups.size;
  }

  /** Whether any waiting submission has received no service. */
  get hasUnserved(): boolean {
    return this.#groups.first()?.value.servedMilliseconds === 0;
  }

  /** Adds an item behind the other items of its submission. */
  add(metadata: QueuedSubmission, item: Item): void {
    this.#groupOf(metadata).items.push(item);
    this.#size += 1;
  }

  /** Puts back an item in front of the other items of its submission. */
  requeue(metadata: QueuedSubmission, item: Item): void {
    this.#groupOf(metadata).items.unshift(item);
    this.#size += 1;
  }

  /** Removes and returns the next item, or undefined when the queue is empty. */
  take(now: Milliseconds): Item | undefined {
    const first = this.#firstAt(now);
    if (first === undefined) return undefined;
    const { items } = first.value;
    const item = items.shift();
    if (items.length === 0) this.#removeGroup(first.key);
    this.#size -= 1;
    return item;
  }

  /** Charges run time to a submission; a correction may be negative. */
  charge(submission: SubmissionIdentifier, served: Milliseconds): void {
    const group = this.#groups.get(submission);
    if (group === undefined) return;
    group.servedMilliseconds += served;
    this.#rank(submission, group);
  }

  /** Removes and returns the matching items of one submission or of all submissions. */
  remove(
    matches: (item: Item) => boolean,
    submission?: SubmissionIdentifier,
  ): readonly Item[] {
    const submissions = submission === undefined
      ? [...this.#groups.keys()]
      : [submission];
    const removed = submissions.flatMap((key) =>
      this.#removeFromGroup(key, matches)
    );
    this.#size -= removed.length;
    return removed;
  }

  #removeFromGroup(
    submission: SubmissionIdentifier,
    matches: (item: Item) => boolean,
  ): readonly Item[] {
    const group = this.#groups.get(submission);
    if (group === undefined) return [];
    const removed = group.items.filter(matches);
    if (removed.length === 0) return [];
    const remaining = group.items.filter((item) => !matches(item));
    group.items.splice(0, group.items.length, ...remaining);
    if (remaining.length === 0) this.#removeGroup(submission);
    return removed;
  }

  #groupOf(metadata: QueuedSubmission): Group<Item> {
    const { submission, servedMilliseconds, arrivedAt, urgentAt } = metadata;
    const known = this.#groups.get(submission);
    if (known !== undefined) {
      if (servedMilliseconds > known.servedMilliseconds) {
        known.servedMilliseconds = servedMilliseconds;
        this.#rank(submission, known);
      }
      return known;
    }
    const group = { items: [], arrivedAt, servedMilliseconds };
    this.#rank(submission, group);
    if (urgentAt !== undefined) {
      const position = { rank: urgentAt, order: arrivedAt };
      this.#byUrgency.set(submission, group, position);
    }
    return group;
  }

  #firstAt(now: Milliseconds) {
    const mostUrgent = this.#byUrgency.first();
    return mostUrgent !== undefined && mostUrgent.rank <= now
      ? mostUrgent
      : this.#groups.first();
  }

  #removeGroup(submission: SubmissionIdentifier): void {
    this.#groups.delete(submission);
    this.#byUrgency.delete(submission);
  }

  #rank(submission: SubmissionIdentifier, group: Group<Item>): void {
    this.#groups.set(submission, group, {
      rank: this.#rankOf(group),
      order: group.arrivedAt,
    });
  }

  #rankOf(group: Group<Item>): number {
    switch (this.#serviceAccounting) {
      case ServiceAccounting.Counted:
        return group.servedMilliseconds;
      case ServiceAccounting.Ignored:
        return 0;
    }
  }
}
