/**
 * Hierarchical fair queue. Kinds of work share the service by weight and floor, the teams of a kind share
 * by weight, and a team's least-served submission goes first. A flood from one kind or team leaves the
 * others their share, a single task never waits for the whole of a large job, and the queue is work-conserving.
 */
import type { Milliseconds } from "@eelgrassfront/model";
import {
  type QueueDiscipline,
  QueueDisciplineKind,
} from "./queue_discipline.ts";
import { EQUAL_SHARES, type Shares } from "./shares.ts";
import {
  type QueuedSubmission,
  ServiceAccounting,
  SubmissionQueue,
} from "./submission_queue.ts";
import { WeightedFlows } from "./weighted_flows.ts";

/** Team, kind of work and submission of a waiting item. */
export interface QueueItemMetadata extends QueuedSubmission {
  readonly team: string;
  readonly kindOfWork: string;
}

/** Submission, team and kind of work to which service is charged. */
export type QueueFlow = Pick<
  QueueItemMetadata,
  "submission" | "team" | "kindOfWork"
>;

/** Waiting work ahead of a new submission, and the share of its team. */
export interface FlowBacklog {
  /** Number of waiting items of the same team and kind of work. */
  readonly items: number;
  /** Number of waiting submissions of the same team and kind of work. */
  readonly submissions: number;
  /** Present share of the team's work of this kind in the whole service, from 0 to 1. */
  readonly share: number;
}

type TeamQueue<Item> = SubmissionQueue<Item>;
type TeamFlows<Item> = WeightedFlows<TeamQueue<Item>>;

interface FlowNames {
  readonly kindOfWork: string;
  readonly team: string;
}

/** How far a team may run ahead of the others for submissions that have received no service yet. */
const UNSERVED_WARP_MILLISECONDS: Milliseconds = 2_000;

/** The flow of all items under disciplines that do not distinguish teams and kinds of work. */
const SINGLE_FLOW: FlowNames = { kindOfWork: "", team: "" };

/** Items that wait for service, in fair order. */
export class FairQueue<Item> {
  readonly #discipline: QueueDiscipline;
  readonly #kinds: WeightedFlows<TeamFlows<Item>>;
  #size = 0;

  constructor(discipline: QueueDiscipline) {
    this.#discipline = discipline;
    this.#kinds = new WeightedFlows({
      create: () => this.#newTeams(),
      shareOf: (name) => this.#shares().ofKind(name),
      warpOf: () => 0,
    });
  }

  /** Number of waiting items. */
  get size(): number {
    return this.#size;
  }

  /** Adds an item behind the other items of its submission. */
  add(metadata: QueueItemMetadata, item: Item): void {
    this.#activate(metadata).add(metadata, item);
    this.#refresh(metadata);
    this.#size += 1;
  }

  /** Puts back an item that was taken and could not be served, in front of its submission's other items. */
  requeue(metadata: QueueItemMetadata, item: Item): void {
    this.#activate(metadata).requeue(metadata, item);
    this.#refresh(metadata);
    this.#size += 1;
  }

  /** Removes and returns the next item, or undefined when the queue is empty. */
  take(now: Milliseconds): Item | undefined {
    const kind = this.#kinds.first();
    const team = kind?.content.first();
    if (kind === undefined || team === undefined) return undefined;
    const item = team.content.take(now);
    this.#updateAfterRemoval(kind, team);
    this.#size -= 1;
    return item;
  }

  /** Charges expected run time to a submission, its team and its kind of work. */
  charge(flow: QueueFlow, expected: Milliseconds): void {
    const { kindOfWork, team } = this.#flowNames(flow);
    const teams = this.#kinds.find(kindOfWork);
    if (teams === undefined) return;
    this.#kinds.charge(kindOfWork, expected);
    teams.find(team)?.charge(flow.submission, expected);
    teams.charge(team, expected);
  }

  /**
   * Corrects the charge of a submission when its task has ended. Its team and its kind of work are not
   * corrected: one long task would cost them many turns, and their expected run times follow the measured
   * ones anyway.
   */
  correctCharge(flow: QueueFlow, difference: Milliseconds): void {
    const { kindOfWork, team } = this.#flowNames(flow);
    this.#kinds.find(kindOfWork)?.find(team)
      ?.charge(flow.submission, difference);
    this.#refresh(flow);
  }

  /** Returns the waiting work ahead of a new submission of a team and kind of work. */
  backlogOf(flow: Pick<QueueFlow, "team" | "kindOfWork">): FlowBacklog {
    const { kindOfWork, team } = this.#flowNames(flow);
    const teams = this.#kinds.find(kindOfWork);
    const queue = teams?.find(team);
    const teamShare = teams?.fractionOf(team) ?? 1;
    return {
      items: queue?.size ?? 0,
      submissions: queue?.submissions ?? 0,
      share: this.#kinds.fractionOf(kindOfWork) * teamShare,
    };
  }

  /** Removes and returns every item that matches. */
  removeWhere(matches: (item: Item) => boolean): readonly Item[] {
    const removed: Item[] = [];
    for (const [kindName, teams] of this.#kinds.contents()) {
      for (const [teamName, queue] of teams.contents()) {
        removed.push(...queue.remove(matches));
        this.#updateAfterRemoval(
          { name: kindName, content: teams },
          { name: teamName, content: queue },
        );
      }
    }
    this.#size -= removed.length;
    return removed;
  }

  /** Removes and returns every item of one submission. */
  removeSubmission(flow: QueueFlow): readonly Item[] {
    const { kindOfWork, team } = this.#flowNames(flow);
    const teams = this.#kinds.find(kindOfWork);
    const queue = teams?.find(team);
    if (teams === undefined || queue === undefined) return [];
    const removed = queue.remove(() => true, flow.submission);
    this.#updateAfterRemoval(
      { name: kindOfWork, content: teams },
      { name: team, content: queue },
    );
    this.#size -= removed.length;
    return removed;
  }

  #activate(flow: QueueFlow): TeamQueue<Item> {
    const { kindOfWork, team } = this.#flowNames(flow);
    return this.#kinds.activate(kindOfWork).activate(team);
  }

  #refresh(flow: FlowNames): void {
    const { kindOfWork, team } = this.#flowNames(flow);
    this.#kinds.find(kindOfWork)?.refresh(team);
  }

  /** Ranks a team again after a removal, or deactivates the team, and then its kind of work, when empty. */
  #updateAfterRemoval(
    kind: { readonly name: string; readonly content: TeamFlows<Item> },
    team: { readonly name: string; readonly content: TeamQueue<Item> },
  ): void {
    if (team.content.size > 0) {
      kind.content.refresh(team.name);
      return;
    }
    kind.content.deactivate(team.name);
    if (kind.content.first() === undefined) this.#kinds.deactivate(kind.name);
  }

  #newTeams(): TeamFlows<Item> {
    return new WeightedFlows({
      create: () => new SubmissionQueue<Item>(this.#serviceAccounting()),
      shareOf: (name) => this.#shares().ofTeam(name),
      warpOf: ({ hasUnserved }) => hasUnserved ? UNSERVED_WARP_MILLISECONDS : 0,
    });
  }

  #flowNames({ kindOfWork, team }: FlowNames): FlowNames {
    switch (this.#discipline.kind) {
      case QueueDisciplineKind.WeightedShares:
        return { kindOfWork, team };
      case QueueDisciplineKind.LeastServedSubmission:
      case QueueDisciplineKind.FirstComeFirstServed:
        return SINGLE_FLOW;
    }
  }

  #shares(): Shares {
    switch (this.#discipline.kind) {
      case QueueDisciplineKind.WeightedShares:
        return this.#discipline.shares();
      case QueueDisciplineKind.LeastServedSubmission:
      case QueueDisciplineKind.FirstComeFirstServed:
        return EQUAL_SHARES;
    }
  }

  #serviceAccounting(): ServiceAccounting {
    switch (this.#discipline.kind) {
      case QueueDisciplineKind.WeightedShares:
      case QueueDisciplineKind.LeastServedSubmission:
        return ServiceAccounting.Counted;
      case QueueDisciplineKind.FirstComeFirstServed:
        return ServiceAccounting.Ignored;
    }
  }
}
