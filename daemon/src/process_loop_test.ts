/**
 * The event loop: one input at a time in the order of arrival, outputs to their ports, and a broken
 * invariant that stops the process with an event.
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

test("the loop passes inputs to the state machine and stops when it stops", async () => {
  const harness = new TestHarness(
    () => [{ kind: OutputKind.Stop, exitCode: 0 }],
  );
  const running = harness.loop.run();
  harness.send({ kind: InputKind.DrainRequested });
  expect(await running).toEqual(0);
  expect(harness.received).toEqual([InputKind.DrainRequested]);
});

test("no input reaches the state machine after the stop", async () => {
  const harness = new TestHarness(
    () => [{ kind: OutputKind.Stop, exitCode: 0 }],
  );
  const running = harness.loop.run();
  harness.send({ kind: InputKind.DrainRequested });
  harness.send({ kind: InputKind.DrainRequested });
  await running;
  expect(harness.received.length).toEqual(1);
});

test("a broken invariant stops the process with an event that contains the state", async () => {
  const harness = new TestHarness(() => {
    throw new InvariantError(Invariant.NoSecondStart, "team/key#0");
  });
  const running = harness.loop.run();
  harness.send({ kind: InputKind.DrainRequested });
  expect(await running).toEqual(INVARIANT_EXIT_CODE);
  expect(harness.events.map(({ number }) => number)).toEqual([
    EventNumber.InvariantBroken,
  ]);
  expect(harness.events[0]?.context).toEqual({ state: "team/key#0" });
});

test("the alarm is set from the state machine after every step", async () => {
  const harness = new TestHarness(
    () => [{ kind: OutputKind.Stop, exitCode: 0 }],
  );
  const running = harness.loop.run();
  harness.send({ kind: InputKind.DrainRequested });
  await running;
  expect(harness.alarms).toEqual([100, 101]);
});

class TestHarness {
  readonly received: InputKind[] = [];
  readonly events: ProcessEvent[] = [];
  readonly alarms: (number | undefined)[] = [];
  readonly send: (input: DrainRequested) => void;
  readonly loop: ProcessLoop;

  constructor(respond: (input: ProcessInput) => readonly ProcessOutput[]) {
    const [send, inputs] = createAdapter<DrainRequested>();
    this.send = send;
    const decisions: Decisions = {
      step: (_now, input) => {
        this.received.push(input.kind);
        return respond(input);
      },
      nextAlarm: () => 100 + this.received.length,
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
