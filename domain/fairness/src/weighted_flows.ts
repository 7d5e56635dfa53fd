/**
 * Start-time fair queueing between named flows: each flow advances by the service it receives divided by
 * its share, and the flow that is furthest behind is first. A flow that was idle starts a bounded credit
 * behind the others, so that a burst within its share does not queue behind theirs. A flow may be warped: it is ranked as if it had received less,
 * so that what is urgent in it is served at once and paid for by what follows (borrowed virtual time).
 */
import type { Milliseconds } from "@eelgrassfront/model";
import { RankedMap } from "./ranked_map.ts";

interface Flow<Content> {
  readonly name: string;
  readonly content: Content;
  readonly order: number;
  virtualTime: number;
}

/** What the flows need. */
export interface WeightedFlowsOptions<Content> {
  readonly create: () => Content;
  /** Share of a flow relative to the others. */
  readonly shareOf: (name: string) => number;
  /** Service by which a flow with this content is moved forward now. */
  readonly warpOf: (content: Content) => Milliseconds;
}

/** Service that a flow may catch up on after it was idle. */
const IDLE_CREDIT_MILLISECONDS: Milliseconds = 3_000;

/** Flows that share a resource by weight. */
export class WeightedFlows<Content> {
  readonly #options: WeightedFlowsOptions<Content>;
  readonly #flows = new Map<string, Flow<Content>>();
  readonly #active = new RankedMap<string, Flow<Content>>();
  #virtualTime = 0;

  constructor(options: WeightedFlowsOptions<Content>) {
    this.#options = options;
  }

  /** The content of a flow, if the flow was ever used. */
  find(name: string): Content | undefined {
    return this.#flows.get(name)?.content;
  }

  /** The contents of all flows. */
  *contents(): Iterable<readonly [string, Content]> {
    for (const [name, { content }] of this.#flows) yield [name, content];
  }

  /** Makes a flow active and returns its content. */
  activate(name: string): Content {
    const flow = this.#flowOf(name);
    if (this.#active.get(name) === undefined) {
      const credit = IDLE_CREDIT_MILLISECONDS / this.#options.shareOf(name);
      flow.virtualTime = Math.max(
        flow.virtualTime,
        this.#virtualTime - credit,
      );
      this.#rank(flow);
    }
    return flow.content;
  }

  /** Makes a flow inactive; what it has received is kept. */
  deactivate(name: string): void {
    this.#active.delete(name);
  }

  /** The active flow that is furthest behind. */
  first(): { readonly name: string; readonly content: Content } | undefined {
    const entry = this.#active.first();
    if (entry === undefined) return undefined;
    this.#virtualTime = Math.max(this.#virtualTime, entry.rank);
    return entry.value;
  }

  /** Counts service that a flow received; a correction may be negative. */
  charge(name: string, served: Milliseconds): void {
    const flow = this.#flowOf(name);
    flow.virtualTime += served / this.#options.shareOf(name);
    this.refresh(name);
  }

  /** Ranks a flow anew after a change of its content. */
  refresh(name: string): void {
    const flow = this.#active.get(name);
    if (flow !== undefined) this.#rank(flow);
  }

  /** Share of a flow among itself and the active flows, from 0 to 1. */
  fractionOf(name: string): number {
    const { shareOf } = this.#options;
    const own = shareOf(name);
    let total = own;
    for (const active of this.#active.keys()) {
      if (active !== name) total += shareOf(active);
    }
    return own / total;
  }

  #rank(flow: Flow<Content>): void {
    const { name, content, order } = flow;
    const { warpOf, shareOf } = this.#options;
    const rank = flow.virtualTime - warpOf(content) / shareOf(name);
    if (this.#active.positionOf(name)?.rank === rank) return;
    this.#active.set(name, flow, { rank, order });
  }

  #flowOf(name: string): Flow<Content> {
    const known = this.#flows.get(name);
    if (known !== undefined) return known;
    const flow = {
      name,
      content: this.#options.create(),
      order: this.#flows.size,
      virtualTime: this.#virtualTime,
    };
    this.#flows.set(name, flow);
    return flow;
  }
}
