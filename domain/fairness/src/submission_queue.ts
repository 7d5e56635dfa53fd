/**
 * Waiting items of one team, grouped by submission, least-served submission first. A submission that has
 * waited for long becomes urgent and goes first, so that new ones cannot starve a large job.
 */
import type { Milliseconds, SubmissionIdentifier } from "@eelgrassfront/model";
import { RankedMap } from "./ranked_map.ts";

/** What a queue knows of a submission with waiting items. */
export interface QueuedSubmission {
  readonly submission: SubmissionIdentifier;
  /** Run time that the submission has received, or is about to, wherever its tasks ran. */
  readonly servedMilliseconds: Milliseconds;
  /** Moment of arrival, which decides between submissions that received the same. */
  readonly arrivedAt: Milliseconds;
  /** Moment from which the submission goes before those that received less; never when absent. */
  readonly urgentAt?: Milliseconds;
}

interface Group<Item> {
  readonly items: Item[];
  readonly arrivedAt: Milliseconds;
  servedMilliseconds: Milliseconds;
}

/** Whether service changes the order of submissions. */
export enum ServiceCount {
  Counted = "counted",
  Ignored = "ignored",
}

/** Items by submission. */
export class SubmissionQueue<Item> {
  readonly #serviceCount: ServiceCount;
  readonly #groups = new RankedMap<SubmissionIdentifier, Group<Item>>();
  readonly #byUrgency = new RankedMap<SubmissionIdentifier, Group<Item>>();
  #size = 0;

  constructor(serviceCount: ServiceCount) {
    this.#serviceCount = serviceCount;
  }

  /** Number of waiting items. */
  get size(): number {
    return this.#size;
  }

  /** Number of submissions with waiting items. */
  get submissions(): number {
    return this.#groups.size;
  }

  /** Whether a submission waits that has received no service. */
  get hasUnserved(): boolean {
    return this.#groups.first()?.value.servedMilliseconds === 0;
  }

  /** Adds an item behind the others of its submission. */
  add(ticket: QueuedSubmission, item: Item): void {
    this.#groupOf(ticket).items.push(item);
    this.#size += 1;
  }

  /** Puts an item back before the others of its submission. */
  putBack(ticket: QueuedSubmission, item: Item): void {
    this.#groupOf(ticket).items.unshift(item);
    this.#size += 1;
  }

  /** Takes the next item. */
  take(now: Milliseconds): Item | undefined {
    const first = this.#firstAt(now);
    if (first === undefined) return undefined;
    const { items } = first.value;
    const item = items.shift();
    if (items.length === 0) this.#forget(first.key);
    this.#size -= 1;
    return item;
  }

  /** Counts run time that a submission received; a correction may be negative. */
  charge(submission: SubmissionIdentifier, served: Milliseconds): void {
    const group = this.#groups.get(submission);
    if (group === undefined) return;
    group.servedMilliseconds += served;
    this.#rank(submission, group);
  }

  /** Removes and returns every item that matches, of one submission or of all. */
  remove(
    matches: (item: Item) => boolean,
    submission?: SubmissionIdentifier,
  ): readonly Item[] {
    const submissions = submission === undefined
      ? [...this.#groups.keys()]
      : [submission];
    const removed = submissions.flatMap((key) => this.#removeOf(key, matches));
    this.#size -= removed.length;
    return removed;
  }

  #removeOf(
    submission: SubmissionIdentifier,
    matches: (item: Item) => boolean,
  ): readonly Item[] {
    const group = this.#groups.get(submission);
    if (group === undefined) return [];
    const removed = group.items.filter(matches);
    if (removed.length === 0) return [];
    const kept = group.items.filter((item) => !matches(item));
    group.items.splice(0, group.items.length, ...kept);
    if (kept.length === 0) this.#forget(submission);
    return removed;
  }

  #groupOf(ticket: QueuedSubmission): Group<Item> {
    const { submission, servedMilliseconds, arrivedAt, urgentAt } = ticket;
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

  #forget(submission: SubmissionIdentifier): void {
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
    switch (this.#serviceCount) {
      case ServiceCount.Counted:
        return group.servedMilliseconds;
      case ServiceCount.Ignored:
        return 0;
    }
  }
}
