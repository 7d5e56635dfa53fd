/**
 * Watches of entries with waiting jobs on the worker's load. Capacity that becomes free is offered to one of
 * them at a time, the one whose job is most urgent, and hidden from the others until the entry uses it or
 * the offer expires. Several entries thus neither compete for the same capacity nor serve a less urgent job of
 * one before a more urgent job of another.
 */
import {
  addResources,
  type DispatchOutput,
  DispatchReplyKind,
  isWithin,
  type Milliseconds,
  NO_RESOURCES,
  type OutputCollector,
  OutputKind,
  type ProcessIdentifier,
  type RequestIdentifier,
  type Resources,
  subtractResources,
  type WaitingDemand,
  type WaitingTotal,
  type WorkerLoad,
} from "@eelgrassfront/model";
import { compareUrgency, type Urgency } from "@eelgrassfront/overload";

/** Time for which offered capacity is hidden from other entries: a few round trips between zones. */
const OFFER_MILLISECONDS: Milliseconds = 20;

/** A watch as an entry requests it. */
export interface RequestedWatch {
  readonly request: RequestIdentifier;
  readonly knownRevision: number;
  readonly intervalMilliseconds: Milliseconds;
  readonly demand: WaitingDemand;
}

interface Watch extends RequestedWatch {
  /** Latest start of the waiting job that meets its objective. */
  readonly startBy: Milliseconds;
  /** Earliest time of the answer. */
  readonly dueAt: Milliseconds;
}

type EntryWatch = readonly [ProcessIdentifier, Watch];

const NO_WATCHES: readonly EntryWatch[] = [];

interface IdlePeriod {
  readonly revision: number;
  readonly until: Milliseconds;
}

interface Offer {
  readonly resources: Resources;
  readonly expiresAt: Milliseconds;
}

/** Sources of the load and of its revision. */
export interface LoadWatchesOptions {
  readonly collector: OutputCollector<DispatchOutput>;
  readonly revision: () => number;
  /** Raises the revision, because capacity is no longer hidden from some entries. */
  readonly raiseRevision: () => void;
  /** Free resources of the worker; absent while it gets no tasks. */
  readonly free: () => Resources | undefined;
  readonly load: (entry: ProcessIdentifier) => WorkerLoad | undefined;
}

/** Offers free capacity to the entries that wait for it, at most one watch for each entry. */
export class LoadWatches {
  readonly #options: LoadWatchesOptions;
  readonly #watches = new Map<ProcessIdentifier, Watch>();
  readonly #offers = new Map<ProcessIdentifier, Offer>();
  /** Watches whose entry got an offer and no reply yet. */
  readonly #unanswered = new Map<ProcessIdentifier, Watch>();
  /** Time before which no watch is due while the load has the same revision; undefined since one was added. */
  #idle: IdlePeriod | undefined;
  readonly #repliedAt = new Map<ProcessIdentifier, Milliseconds>();

  constructor(options: LoadWatchesOptions) {
    this.#options = options;
  }

  /** Adds a watch; it replaces and answers an earlier one of the same entry. */
  add(entry: ProcessIdentifier, requested: RequestedWatch): void {
    const earlier = this.#watches.get(entry);
    if (earlier !== undefined) this.#reply(entry, earlier);
    const { now } = this.#options.collector;
    const startBy = now + requested.demand.slackMilliseconds;
    const dueAt = (this.#repliedAt.get(entry) ?? -Infinity) +
      requested.intervalMilliseconds;
    this.#idle = undefined;
    this.#watches.set(entry, { ...requested, startBy, dueAt });
  }

  /** Drops the watch and the offer of an entry. */
  remove(entry: ProcessIdentifier): void {
    this.#watches.delete(entry);
    this.#unanswered.delete(entry);
    this.#repliedAt.delete(entry);
    this.endOffer(entry);
  }

  /** Ends the offer to an entry, because the entry has used it or has left. */
  endOffer(entry: ProcessIdentifier): void {
    this.#offers.delete(entry);
  }

  /** Resources that are offered to other entries than the given one. */
  offeredToOthers(entry: ProcessIdentifier): Resources {
    let sum = NO_RESOURCES;
    if (this.#offers.size === 0) return sum;
    for (const [other, { resources }] of this.#offers) {
      if (other !== entry) sum = addResources(sum, resources);
    }
    return sum;
  }

  /** Demands by priority that wait at other entries than the given one; undefined while there is none. */
  waitingAtOthers(
    entry: ProcessIdentifier,
  ): readonly WaitingTotal[] | undefined {
    const byPriority = new Map<number, number>();
    for (const [other, watch] of this.#watches) {
      if (other === entry || this.#isOver(watch)) continue;
      const { priority, resources } = watch.demand;
      const millicores = resources.processorMillicores;
      byPriority.set(priority, (byPriority.get(priority) ?? 0) + millicores);
    }
    if (byPriority.size === 0) return undefined;
    return [...byPriority].map(([priority, millicores]) => ({
      priority,
      millicores,
    }));
  }

  /** A watch outlasts its job: one that has not started is refused at its latest start. */
  #isOver({ demand, startBy }: Watch): boolean {
    return !demand.hasStarted && this.#options.collector.now > startBy;
  }

  /** Offers free capacity to the most urgent watches that it suffices for. */
  offerCapacity(): void {
    this.#expireOffers();
    const due = this.#dueWatches();
    if (due.length === 0) return;
    const free = this.#options.free();
    if (free === undefined) return;
    const { now } = this.#options.collector;
    const expiresAt = now + OFFER_MILLISECONDS;
    const sufficed = due.filter(([, { demand }]) =>
      isWithin(demand.resources, free)
    );
    if (sufficed.length > 1) {
      sufficed.sort(([, left], [, right]) => compareWatches(left, right));
    }
    for (const [entry, watch] of sufficed) {
      const { resources } = watch.demand;
      const left = subtractResources(free, this.offeredToOthers(entry));
      if (!isWithin(resources, left)) continue;
      this.#offers.set(entry, { resources, expiresAt });
      this.#watches.delete(entry);
      this.#unanswered.set(entry, watch);
    }
  }

  /** The watches that may be answered now. */
  #dueWatches(): readonly EntryWatch[] {
    if (this.#watches.size === 0) return NO_WATCHES;
    const { collector: { now }, revision } = this.#options;
    const current = revision();
    const idle = this.#idle;
    if (idle?.revision === current && now < idle.until) return NO_WATCHES;
    const due: EntryWatch[] = [];
    let until = Infinity;
    for (const [entry, watch] of this.#watches) {
      // An entry that knows the present load gets no answer.
      if (watch.knownRevision === current) continue;
      until = Math.min(until, watch.dueAt);
      if (now >= watch.dueAt) due.push([entry, watch]);
    }
    this.#idle = { revision: current, until };
    return due;
  }

  /** Offers free capacity and answers the watches of the entries that got an offer. */
  tick(): void {
    this.offerCapacity();
    if (this.#unanswered.size === 0) return;
    for (const [entry, watch] of this.#unanswered) this.#reply(entry, watch);
    this.#unanswered.clear();
  }

  /** When an offer expires or the next watch may be answered. */
  nextAlarm(): Milliseconds | undefined {
    const { now } = this.#options.collector;
    let next = Infinity;
    for (const { expiresAt } of this.#offers.values()) {
      next = Math.min(next, expiresAt);
    }
    const revision = this.#options.revision();
    for (const { knownRevision, dueAt } of this.#watches.values()) {
      if (knownRevision === revision || dueAt <= now) continue;
      next = Math.min(next, dueAt);
    }
    return next === Infinity ? undefined : next;
  }

  #expireOffers(): void {
    if (this.#offers.size === 0) return;
    const { now } = this.#options.collector;
    for (const [entry, { expiresAt }] of this.#offers) {
      if (now < expiresAt) continue;
      this.#offers.delete(entry);
      this.#options.raiseRevision();
    }
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

function urgencyOf({ demand, startBy }: Watch): Urgency {
  const { isLate = false, workPerCaller = 0 } = demand;
  return { ...demand, isLate, workPerCaller, startBy };
}

/** Compares two watches in the order in which entries serve jobs; negative when the left one goes first. */
function compareWatches(left: Watch, right: Watch): number {
  return compareUrgency(urgencyOf(left), urgencyOf(right));
}
