/**
 * Tests of the evacuated zones in the fleet state exchange between two entries.
 */
import { describe, it } from "node:test";
import {
  type DispatchOutput,
  type DispatchReply,
  type DispatchRequest,
  DispatchRequestKind,
  EvacuationReadKind,
  type FleetMember,
  InputKind,
  type Milliseconds,
  OutputCollector,
  OutputKind,
  type ProcessIdentifier,
  Role,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { applyEvacuationRead } from "./evacuation_changes.ts";
import { FleetDirectory } from "./fleet_directory.ts";
import { FleetStateExchange } from "./fleet_state_exchange.ts";

const ROUND_MILLISECONDS: Milliseconds = 500;
const ZONE = "zone-a";

type Message = DispatchRequest | DispatchReply;

/** An entry with its directory and its exchange. */
class Entry {
  readonly directory = new FleetDirectory();
  readonly self: FleetMember;
  readonly #collector = new OutputCollector<DispatchOutput>();
  readonly #exchange: FleetStateExchange;

  constructor(name: string) {
    this.self = {
      process: `${name}~a`,
      role: Role.Entry,
      address: name,
      availabilityZone: ZONE,
    };
    this.#exchange = new FleetStateExchange({
      self: this.self,
      directory: this.directory,
      collector: this.#collector,
      seeds: [],
      isNeeded: () => true,
    });
  }

  read(offset: number, zones: readonly string[]): void {
    const state = { offset, zones };
    applyEvacuationRead(
      { kind: EvacuationReadKind.Complete, state },
      this.directory,
      this.#collector,
    );
  }

  tick(now: Milliseconds): readonly DispatchOutput[] {
    this.#collector.begin(now);
    this.#exchange.tick();
    return this.#collector.finish();
  }

  receive(
    now: Milliseconds,
    from: ProcessIdentifier,
    request: number,
    message: Message,
  ): readonly DispatchOutput[] {
    this.#collector.begin(now);
    if (message.kind === DispatchRequestKind.ExchangeFleetState) {
      this.#exchange.handleRequest(from, request, message);
    } else {
      this.#exchange.handleReply({
        kind: InputKind.PeerReplyArrived,
        from,
        request,
        message: message as DispatchReply,
      });
    }
    return this.#collector.finish();
  }
}

/** Two entries that know each other; only the first one starts exchanges. */
class Pair {
  readonly first = new Entry("entry-1");
  readonly second = new Entry("entry-2");
  readonly messages: Message[] = [];
  #now = 0;

  constructor() {
    this.first.directory.updateMember(this.second.self);
    this.second.directory.updateMember(this.first.self);
    this.first.tick(0);
  }

  /** Lets the first entry exchange its state with the second one, and delivers all messages. */
  exchange(): void {
    this.#now += ROUND_MILLISECONDS;
    this.#deliver(this.first, this.first.tick(this.#now));
  }

  #deliver(from: Entry, outputs: readonly DispatchOutput[]): void {
    const to = from === this.first ? this.second : this.first;
    for (const output of outputs) {
      const isMessage = output.kind === OutputKind.SendRequest ||
        output.kind === OutputKind.SendReply;
      if (!isMessage) continue;
      const { request, message } = output;
      this.messages.push(message);
      const { process } = from.self;
      this.#deliver(to, to.receive(this.#now, process, request, message));
    }
  }
}

describe("the evacuated zones in the fleet state exchange", () => {
  it("reach an entry that asks: it may be unable to reach the store", () => {
    const pair = new Pair();
    pair.second.read(4, [ZONE]);
    pair.exchange();
    expect(pair.first.directory.evacuations.isEvacuated(ZONE)).toEqual(true);
  });

  it("reach an entry that is asked and has an older state", () => {
    const pair = new Pair();
    pair.first.read(4, [ZONE]);
    pair.exchange();
    expect(pair.second.directory.evacuations.isEvacuated(ZONE)).toEqual(true);
  });

  it("end at an entry that asks one which knows only the restored state, and of no evacuation", () => {
    const pair = new Pair();
    pair.first.read(4, [ZONE]);
    pair.second.read(5, []);
    pair.exchange();
    expect(pair.first.directory.evacuations.isEvacuated(ZONE)).toEqual(false);
  });

  it("end at an entry that is asked by one which knows only the restored state", () => {
    const pair = new Pair();
    pair.first.read(5, []);
    pair.second.read(4, [ZONE]);
    pair.exchange();
    pair.exchange();
    expect(pair.second.directory.evacuations.isEvacuated(ZONE)).toEqual(false);
    expect(pair.first.directory.evacuations.isEvacuated(ZONE)).toEqual(false);
  });

  it("are not sent to an entry that has them", () => {
    const pair = new Pair();
    pair.first.read(4, [ZONE]);
    pair.second.read(4, [ZONE]);
    pair.exchange();
    const carried = pair.messages.filter((message) =>
      JSON.stringify(message).includes('"evacuations"')
    );
    expect(carried).toEqual([]);
  });

  it("are not mentioned where no zone was ever evacuated, so that the messages stay as they were", () => {
    const pair = new Pair();
    pair.first.read(4, []);
    pair.second.read(5, []);
    pair.exchange();
    expect(pair.messages.length).toEqual(2);
    expect(JSON.stringify(pair.messages).includes("evacuat")).toEqual(false);
  });
});
