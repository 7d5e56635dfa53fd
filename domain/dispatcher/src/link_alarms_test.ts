/**
 * The earliest time at which a link is due is kept between steps; a stale one would let a renewal be late, so that its
 * session expires, or a lost sidecar go unnoticed.
 */
import { test } from "node:test";
import { Role } from "@eelgrassfront/model";
import { expect } from "earl";
import { LinkAlarms, REPLY_TIMEOUT_MILLISECONDS } from "./link_alarms.ts";
import {
  LinkPhase,
  newLink,
  type OpenLink,
  type WorkerLinkState,
} from "./worker_link_state.ts";

const REVISION = 1;

test("a reply over the link that is due first puts its loss off", () => {
  const alarms = new LinkAlarms();
  const first = openState(0, 10_000);
  const second = openState(100, 10_000);
  const links = [linkOf(first), linkOf(second)];
  expect(alarms.earliest(links, REVISION))
    .toEqual(REPLY_TIMEOUT_MILLISECONDS);
  alarms.recordReply(first, 300);
  expect(alarms.earliest(links, REVISION))
    .toEqual(100 + REPLY_TIMEOUT_MILLISECONDS);
});

test("a renewal that is due remains so after a reply", () => {
  const alarms = new LinkAlarms();
  const state = openState(0, 200);
  const links = [linkOf(state)];
  expect(alarms.earliest(links, REVISION)).toEqual(200);
  alarms.recordReply(state, 150);
  expect(alarms.earliest(links, REVISION)).toEqual(200);
});

test("no link is lost before the replies that arrived during a stall were read", () => {
  const alarms = new LinkAlarms();
  const links = [linkOf(openState(0, 10_000))];
  expect(alarms.earliest(links, REVISION))
    .toEqual(REPLY_TIMEOUT_MILLISECONDS);
  alarms.deferLosses(800);
  expect(alarms.earliest(links, REVISION)).toEqual(800);
});

test("a link that was added may be due first", () => {
  const alarms = new LinkAlarms();
  const links = [linkOf(openState(0, 300))];
  expect(alarms.earliest([], REVISION)).toEqual(Infinity);
  expect(alarms.earliest(links, REVISION + 1)).toEqual(300);
});

function openState(lastReplyAt: number, nextRenewAt: number): OpenLink {
  return {
    phase: LinkPhase.Open,
    session: 1,
    lastReplyAt,
    nextRenewAt,
    sidecarClock: undefined,
    unansweredSince: undefined,
    profile: undefined,
    load: undefined,
    watch: undefined,
    unprofiledWorker: undefined,
    carriedEvacuations: undefined,
  };
}

function linkOf(state: OpenLink): WorkerLinkState {
  const link = newLink({
    process: "sidecar-1~a",
    role: Role.Sidecar,
    address: "127.0.0.1:7730",
    availabilityZone: "zone-a",
  });
  link.state = state;
  return link;
}
