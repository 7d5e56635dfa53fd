/**
 * Decisions on connections without a network. Each test names the failure that it guards against.
 */
import { describe, it } from "node:test";
import { ClientRejectionReason } from "@eelgrassfront/model";
import { expect } from "earl";
import type { FrontConnection } from "./front_connection.ts";
import { close, CONTINUE, PAUSE, refuse } from "./front_decision.ts";
import {
  Audience,
  defaultFrontLimits,
  type FrontLimitSettings,
} from "./front_limit_settings.ts";
import { FrontLimits } from "./front_limits.ts";

const SMALLEST_VM = { memoryBytes: 220_200_960, descriptors: 2_212 };
const DEFAULTS = defaultFrontLimits(SMALLEST_VM, Audience.Clients);
const LARGEST_BODY_BYTES = 262_144;
const nothingUnread = () => 0;

function limitsWith(settings: Partial<FrontLimitSettings>): FrontLimits {
  return new FrontLimits({ ...DEFAULTS, ...settings });
}

function open(limits: FrontLimits, address = "a", now = 0): FrontConnection {
  return limits.open(address, now).connection;
}

function repeat(count: number, action: () => unknown): void {
  for (let index = 0; index < count; index += 1) action();
}

describe("connections", () => {
  it("are refused above the total, so that descriptors remain", () => {
    const limits = limitsWith({ connections: 2 });
    repeat(2, () => open(limits));
    expect(limits.open("b", 10).decision).toEqual(
      refuse(ClientRejectionReason.TooManyConnections),
    );
    expect(limits.connections.size).toEqual(2);
  });

  it("of one address leave a part of the total to other addresses", () => {
    const limits = limitsWith({ connections: 4, connectionsPerAddress: 3 });
    repeat(3, () => open(limits, "a"));
    expect(limits.open("a", 10).decision).toEqual(
      refuse(ClientRejectionReason.TooManyConnectionsOfAddress),
    );
    expect(limits.open("b", 10).decision).toEqual(CONTINUE);
  });

  it("that are unusual are closed for new ones, so that a crowd keeps nobody out", () => {
    const limits = limitsWith({ connections: 2 });
    const slow = open(limits, "a");
    limits.beginRequest(slow);
    limits.beginBody(slow, 0);
    const ordinary = open(limits, "b", 1_900);
    limits.sweep(2_000, nothingUnread);
    const opened = limits.open("c", 2_000);
    expect(opened.decision).toEqual(CONTINUE);
    expect(opened.closed).toEqual({
      connection: slow,
      decision: close(ClientRejectionReason.TooManyConnections),
    });
    expect(limits.connections.has(ordinary)).toEqual(true);
  });

  it("give back all that they held when they close, and nothing twice", () => {
    const limits = limitsWith({});
    const connection = open(limits);
    limits.beginRequest(connection);
    limits.receiveBody(connection, 100);
    limits.close(connection);
    limits.endRequest(connection, 0);
    limits.releaseBody(connection, 100);
    limits.receiveBody(connection, 100);
    limits.beginRequest(connection);
    expect([limits.bodyBytes, limits.requests]).toEqual([0, 0]);
  });
});

describe("requests", () => {
  it("pause their connection before any is refused, and continue it when responses were read", () => {
    const limits = limitsWith({ requestsBeforePause: 3 });
    const connection = open(limits);
    expect(limits.beginRequest(connection)).toEqual(CONTINUE);
    expect(limits.beginRequest(connection)).toEqual(CONTINUE);
    expect(limits.beginRequest(connection)).toEqual(PAUSE);
    expect(limits.endRequest(connection, 0)).toEqual(CONTINUE);
    expect(connection.isPaused).toEqual(false);
  });

  it("close a connection that ignores the pause", () => {
    const limits = limitsWith({
      requestsBeforePause: 1,
      requestsPerConnection: 2,
    });
    const connection = open(limits);
    repeat(2, () => limits.beginRequest(connection));
    expect(limits.beginRequest(connection)).toEqual(
      close(ClientRejectionReason.TooManyRequests),
    );
  });

  it("of pipelining clients leave a part of the total to others", () => {
    const limits = limitsWith({ requests: 12 });
    const pipelining = open(limits);
    repeat(9, () => limits.beginRequest(pipelining));
    expect(limits.beginRequest(pipelining)).toEqual(
      close(ClientRejectionReason.TooManyRequests),
    );
    const others = [open(limits), open(limits)];
    expect(others.map((other) => limits.beginRequest(other))).toEqual([
      CONTINUE,
      CONTINUE,
    ]);
    expect(limits.beginRequest(open(limits))).toEqual(
      refuse(ClientRejectionReason.TooManyRequests),
    );
  });
});

describe("bodies", () => {
  it("of the largest allowed size are read without a pause by default", () => {
    const limits = limitsWith({});
    const connection = open(limits);
    limits.beginRequest(connection);
    limits.beginBody(connection, 0);
    repeat(
      64,
      () => expect(limits.receiveBody(connection, 4_096)).toEqual(CONTINUE),
    );
    limits.endBody(connection);
    limits.releaseBody(connection, LARGEST_BODY_BYTES);
    expect(limits.bodyBytes).toEqual(0);
  });

  it("pause large senders first, serve small ones from the reserve, and are refused above the total", () => {
    const limits = limitsWith({ bodyBytes: 100_000 });
    const large = open(limits);
    expect(limits.receiveBody(large, 70_000)).toEqual(CONTINUE);
    expect(limits.receiveBody(large, 10_000)).toEqual(PAUSE);
    const small = open(limits);
    expect(limits.receiveBody(small, 16_000)).toEqual(CONTINUE);
    expect(limits.receiveBody(open(limits), 5_000)).toEqual(
      refuse(ClientRejectionReason.TooManyBodyBytes),
    );
  });

  it("that do not end are closed: at once while the total is short, else after their time", () => {
    const limits = limitsWith({ bodyBytes: 100_000 });
    const slow = open(limits);
    limits.beginRequest(slow);
    limits.beginBody(slow, 0);
    limits.receiveBody(slow, 50_000);
    expect(limits.sweep(2_000, nothingUnread)).toEqual([]);
    const other = open(limits, "b", 2_000);
    limits.receiveBody(other, 30_000);
    expect(limits.sweep(2_100, nothingUnread)).toEqual([{
      connection: slow,
      decision: close(ClientRejectionReason.TooManyBodyBytes),
    }, { connection: other, decision: CONTINUE }]);
    const slowest = open(limits, "c", 3_000);
    limits.beginRequest(slowest);
    limits.beginBody(slowest, 3_000);
    limits.receiveBody(slowest, 1);
    expect(limits.sweep(18_001, nothingUnread)).toEqual([{
      connection: slowest,
      decision: close(ClientRejectionReason.BodyTooSlow),
    }]);
  });

  it("of very small parts take turns, so that other connections are read in time", () => {
    const limits = limitsWith({});
    const tiny = open(limits);
    repeat(24_000, () => limits.receiveBody(tiny, 1));
    expect(limits.receiveBody(tiny, 1)).toEqual(PAUSE);
    expect(limits.receiveBody(open(limits), 1_000)).toEqual(CONTINUE);
    expect(limits.sweep(250, nothingUnread)).toEqual([
      { connection: tiny, decision: CONTINUE },
    ]);
  });
});

it("closes a connection whose responses stay unread", () => {
  const limits = limitsWith({});
  const connection = open(limits);
  limits.beginRequest(connection);
  expect(limits.sweep(100, () => 1_000)).toEqual([]);
  expect(limits.sweep(10_200, () => 1_000)).toEqual([{
    connection,
    decision: close(ClientRejectionReason.UnreadResponses),
  }]);
});

it("derives limits that fit the memory and the descriptors of every VM", () => {
  for (
    const [megabytes, descriptors] of [[210, 2_212], [250, 4_100], [602, 8_192]]
  ) {
    const memoryBytes = (megabytes ?? 0) * 1_048_576;
    const vm = { memoryBytes, descriptors: descriptors ?? 0 };
    const clients = defaultFrontLimits(vm, Audience.Clients);
    const single = defaultFrontLimits(vm, Audience.Single);
    expect(clients.connections + 2 * single.connections).toBeLessThan(
      vm.descriptors - 200 - 100,
    );
    expect(clients.bodyBytes).toBeLessThan(memoryBytes / 7);
    expect(clients.bodyBytes).toBeGreaterThan(64 * LARGEST_BODY_BYTES);
  }
});
