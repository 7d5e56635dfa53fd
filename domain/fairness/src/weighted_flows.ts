/**
 * Start-time fair queueing between named flows. The virtual time of a flow advances by the service that it
 * receives, divided by its share; the flow with the least virtual time goes first. A flow that was idle
 * restarts with a bounded credit, so that a burst within its share does not wait behind the other flows. A
 * flow can be warped: it is ranked as if it had received less service, so that its urgent items are served
 * at once, at the expense of its later items (borrowed virtual time).
 */
import type { Milliseconds } from "@eelgrassfront/model";
import { IndexedPriorityQueue } from "./indexed_priority_queue.ts";

interface Flow<Content> {
  readonly name: string;
  readonly content: Content;
  readonly order: number;
  virtualTime: number;
}

/** Contents, shares and warps of the flows. */
export interface WeightedFlowsOptions<Content> {
  readonly create: () => Content;
  /** Returns the share of a flow relative to the others. */
  readonly shareOf: (name: string) => number;
  /** Returns the present warp of a flow with this content, in service time. */
  readonly warpOf: (content: Content) => Milliseconds;
}

/** Service that a flow may catch up on after an idle time. */
const IDLE_CREDIT_MILLISECONDS: Milliseconds = 3_000;

/** Flows that share a resource by weight. */
export class WeightedFlows<Content> {
  readonly #options: WeightedFlowsOptions<Content>;
  readonly #flows = new Map<string, Flow<Content>>();
  readonly #active = new IndexedPriorityQueue<string, Flow<Content>>();
  #virtualTime = 0;

  constructor(options: WeightedFlowsOptions<Content>) {
    this.#options = options;
  }

  /** Returns the content of a flow, if the flow was ever activated or charged. */
  find(name: string): Content | undefined {
    return this.#flows.get(name)?.content;
  }

  /** Yields the names and contents of all flows. */
  *contents(): Iterable<readonly [string, Content]> {
    for (const [name, { content }] of this.#flows) yield [name, content];
  }

  /** Activates a flow and returns its content. */
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

  /** Deactivates a flow; its virtual time is kept. */
  deactivate(name: string): void {
    this.#active.delete(name);
  }

  /** Returns the active flow that goes first. */
  first(): { readonly name: string; readonly content: Content } | undefined {
    const entry = this.#active.first();
    if (entry === undefined) return undefined;
    this.#virtualTime = Math.max(this.#virtualTime, entry.rank);
    return entry.value;
  }

  /** Charges service to a flow; a correction may be negative. */
  charge(name: string, served: Milliseconds): void {
    const flow = this.#flowOf(name);
    flow.virtualTime += served / this.#options.shareOf(name);
    this.refresh(name);
  }

  /** Ranks an active flow again after a change of its content. */
  refresh(name: string): void {
    const flow = this.#active.get(name);
    if (flow !== undefined) this.#rank(flow);
  }

  /** Returns the share of a flow among itself and the active flows, from 0 to 1. */
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
