/**
 * Checks the datagrams that a receiver gets, and that an unreachable receiver causes no error.
 */
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { it } from "node:test";
import {
  Counter,
  Gauge,
  NotRunReason,
  OutputKind,
  processIdentifier,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { HotShotsMetrics } from "./hot_shots_metrics.ts";

const SELF = processIdentifier("entry-0", "a");
const HOST = "127.0.0.1";

it("sends counters with their reason, and gauges only when they change", async () => {
  const receiver = createSocket("udp4");
  receiver.bind(0, HOST);
  await once(receiver, "listening");
  const received = once(receiver, "message");
  const metrics = new HotShotsMetrics({
    self: SELF,
    host: HOST,
    port: receiver.address().port,
  });
  metrics.measure({
    kind: OutputKind.IncrementCounter,
    counter: Counter.JobsNotRun,
    reason: NotRunReason.QueueFull,
  });
  const gauge = {
    kind: OutputKind.SetGauge,
    gauge: Gauge.QueuedTasks,
  } as const;
  for (const value of [3, 3, 4]) metrics.measure({ ...gauge, value });
  await metrics[Symbol.asyncDispose]();
  const [datagram] = await received;
  receiver.close();
  expect(String(datagram).trim().split("\n")).toEqual([
    "eelgrassfront.tasks.queued:3|g|#process:entry-0",
    "eelgrassfront.tasks.queued:4|g|#process:entry-0",
    "eelgrassfront.jobs.not_run:1|c|#process:entry-0,reason:queue-full",
  ]);
});

it("continues without an error when the receiver is unreachable", async () => {
  const closed = createSocket("udp4");
  closed.bind(0, HOST);
  await once(closed, "listening");
  const { port } = closed.address();
  closed.close();
  const metrics = new HotShotsMetrics({ self: SELF, host: HOST, port });
  for (let value = 0; value < 1_000; value += 1) {
    metrics.measure({
      kind: OutputKind.SetGauge,
      gauge: Gauge.QueuedTasks,
      value,
    });
  }
  await metrics[Symbol.asyncDispose]();
});
