/**
 * The queue where work waits. Kinds of work share by weight and floor, and within them teams by weight;
 * a team's least-served submission is first. So a flood of one kind or team leaves the others their
 * share, a single task never waits behind the whole of a large job, and nothing idles while work waits.
 */
import type { Milliseconds } from "@eelgrassfront/model";
import {
  type QueueDiscipline,
  QueueDisciplineKind,
} from "./queue_discipline.ts";
import { EQUAL_SHARES, type Shares } from "./shares.ts";
import {
  type QueuedSubmission,
  ServiceCount,
  SubmissionQueue,
} from "./submission_queue.ts";
import { WeightedFlows } from "./weighted_flows.ts";

/** What the queue knows of a waiting item. */
export interface QueueItemMetadata extends QueuedSubmission {
  readonly team: string;
  readonly kindOfWork: string;
}

/** The part of a ticket that says whom service is counted for. */
export type QueueFlow = Pick<
  QueueItemMetadata,
  "submission" | "team" | "kindOfWork"
>;

/** What waits ahead of a new submission, and what share the submission's team has. */
export interface FlowBacklog {
  /** Waiting items of the same team and kind of work. */
  readonly items: number;
  /** Waiting submissions of the same team and kind of work. */
  readonly submissions: number;
  /** Share of the service that the team has in its kind of work now, from 0 to 1. */
  readonly share: number;
}

type TeamQueue<Item> = SubmissionQueue<Item>;
type TeamFlows<Item> = WeightedFlows<TeamQueue<Item>>;

interface FlowNames {
  readonly kindOfWork: string;
  readonly team: string;
}

/** How far a team may run ahead of the others for submissions that have received nothing yet. */
const UNSERVED_WARP_MILLISECONDS: Milliseconds = 2_000;

const ONE_FLOW: FlowNames = { kindOfWork: "", team: "" };

/** Items waiting for service. */
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

  /** Adds an item behind the others of its submission. */
  add(ticket: QueueItemMetadata, item: Item): void {
    this.#activate(ticket).add(ticket, item);
    this.#refresh(ticket);
    this.#size += 1;
  }

  /** Puts an item back that was taken and could not be served. */
  requeue(ticket: QueueItemMetadata, item: Item): void {
    this.#activate(ticket).putBack(ticket, item);
    this.#refresh(ticket);
    this.#size += 1;
  }

  /** Takes the next item, or undefined when nothing waits. */
  take(now: Milliseconds): Item | undefined {
    const kind = this.#kinds.first();
    const team = kind?.content.first();
    if (kind === undefined || team === undefined) return undefined;
    const item = team.content.take(now);
    this.#settle(kind, team);
    this.#size -= 1;
    return item;
  }

  /** Counts run time that a submission, its team and its kind of work are expected to receive. */
  charge(flow: QueueFlow, expected: Milliseconds): void {
    const { kindOfWork, team } = this.#namesOf(flow);
    const teams = this.#kinds.find(kindOfWork);
    if (teams === undefined) return;
    this.#kinds.charge(kindOfWork, expected);
    teams.find(team)?.charge(flow.submission, expected);
    teams.charge(team, expected);
  }

  /**
   * Corrects what a submission was charged when its task has ended. Its team and kind are not corrected:
   * one long task would cost them many turns, and their expected run times follow the measured ones.
   */
  correctCharge(flow: QueueFlow, difference: Milliseconds): void {
    const { kindOfWork, team } = this.#namesOf(flow);
    this.#kinds.find(kindOfWork)?.find(team)
      ?.charge(flow.submission, difference);
    this.#refresh(flow);
  }

  /** What stands before a new submission of this flow. */
  backlogOf(flow: Pick<QueueFlow, "team" | "kindOfWork">): FlowBacklog {
    const { kindOfWork, team } = this.#namesOf(flow);
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
        this.#settle(
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
    const { kindOfWork, team } = this.#namesOf(flow);
    const teams = this.#kinds.find(kindOfWork);
    const queue = teams?.find(team);
    if (teams === undefined || queue === undefined) return [];
    const removed = queue.remove(() => true, flow.submission);
    this.#settle(
      { name: kindOfWork, content: teams },
      { name: team, content: queue },
    );
    this.#size -= removed.length;
    return removed;
  }

  #activate(flow: QueueFlow): TeamQueue<Item> {
    const { kindOfWork, team } = this.#namesOf(flow);
    return this.#kinds.activate(kindOfWork).activate(team);
  }

  #refresh(flow: FlowNames): void {
    const { kindOfWork, team } = this.#namesOf(flow);
    this.#kinds.find(kindOfWork)?.refresh(team);
  }

  /** Takes a team, and then its kind of work, out of turn when nothing of theirs waits. */
  #settle(
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
      create: () => new SubmissionQueue<Item>(this.#serviceCount()),
      shareOf: (name) => this.#shares().ofTeam(name),
      warpOf: ({ hasUnserved }) => hasUnserved ? UNSERVED_WARP_MILLISECONDS : 0,
    });
  }

  #namesOf({ kindOfWork, team }: FlowNames): FlowNames {
    switch (this.#discipline.kind) {
      case QueueDisciplineKind.WeightedShares:
        return { kindOfWork, team };
      case QueueDisciplineKind.LeastServedSubmission:
      case QueueDisciplineKind.FirstComeFirstServed:
        return ONE_FLOW;
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

  #serviceCount(): ServiceCount {
    switch (this.#discipline.kind) {
      case QueueDisciplineKind.WeightedShares:
      case QueueDisciplineKind.LeastServedSubmission:
        return ServiceCount.Counted;
      case QueueDisciplineKind.FirstComeFirstServed:
        return ServiceCount.Ignored;
    }
  }
}
