/**
 * The loop: one input at a time in the order of arrival, outputs to their ports, and a broken invariant
 * that stops the process with its event.
 */
import { test } from "node:test";
import {
  type Decisions,
  type DrainRequested,
  EventNumber,
  InputKind,
  Invariant,
  InvariantError,
  OutputKind,
  type ProcessEvent,
  type ProcessInput,
  type ProcessOutput,
} from "@eelgrassfront/model";
import { empty } from "@most/core";
import { createAdapter } from "@most/adapter";
import { expect } from "earl";
import {
  INVARIANT_EXIT_CODE,
  ProcessLoop,
  type ProcessPorts,
} from "./process_loop.ts";

test("the loop steps the decisions and stops when they stop", async () => {
  const rig = new Rig(() => [{ kind: OutputKind.Stop, exitCode: 0 }]);
  const running = rig.loop.run();
  rig.ask({ kind: InputKind.DrainRequested });
  expect(await running).toEqual(0);
  expect(rig.seen).toEqual([InputKind.DrainRequested]);
});

test("no input is taken after the stop", async () => {
  const rig = new Rig(() => [{ kind: OutputKind.Stop, exitCode: 0 }]);
  const running = rig.loop.run();
  rig.ask({ kind: InputKind.DrainRequested });
  rig.ask({ kind: InputKind.DrainRequested });
  await running;
  expect(rig.seen.length).toEqual(1);
});

test("a broken invariant stops the process with an event that shows the state", async () => {
  const rig = new Rig(() => {
    throw new InvariantError(Invariant.NoSecondStart, "team/key#0");
  });
  const running = rig.loop.run();
  rig.ask({ kind: InputKind.DrainRequested });
  expect(await running).toEqual(INVARIANT_EXIT_CODE);
  expect(rig.events.map(({ number }) => number)).toEqual([
    EventNumber.InvariantBroken,
  ]);
  expect(rig.events[0]?.context).toEqual({ state: "team/key#0" });
});

test("the alarm follows the decisions after every step", async () => {
  const rig = new Rig(() => [{ kind: OutputKind.Stop, exitCode: 0 }]);
  const running = rig.loop.run();
  rig.ask({ kind: InputKind.DrainRequested });
  await running;
  expect(rig.alarms).toEqual([100, 101]);
});

class Rig {
  readonly seen: InputKind[] = [];
  readonly events: ProcessEvent[] = [];
  readonly alarms: (number | undefined)[] = [];
  readonly ask: (input: DrainRequested) => void;
  readonly loop: ProcessLoop;

  constructor(respond: (input: ProcessInput) => readonly ProcessOutput[]) {
    const [ask, inputs] = createAdapter<DrainRequested>();
    this.ask = ask;
    const decisions: Decisions = {
      step: (_now, input) => {
        this.seen.push(input.kind);
        return respond(input);
      },
      nextAlarm: () => 100 + this.seen.length,
    };
    const silent = {
      inputs: empty(),
      perform: () => {},
      [Symbol.asyncDispose]: () => Promise.resolve(),
    };
    const ports: ProcessPorts = {
      clock: {
        ...silent,
        now: () => 0,
        setAlarm: (at) => void this.alarms.push(at),
      },
      peers: silent,
      platformLog: silent,
      operators: { ...silent, inputs },
      signals: silent,
      journal: { record: (event) => void this.events.push(event) },
    };
    this.loop = new ProcessLoop(decisions, ports);
  }
}
