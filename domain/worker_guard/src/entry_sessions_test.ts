/**
 * The earliest expiry of the sessions is kept between steps; a stale one would end a session that was renewed, or let
 * the runs of one that was not renewed continue.
 */
import { test } from "node:test";
import {
  DispatchRequestKind,
  type ProcessIdentifier,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { EntrySessions, SESSION_MILLISECONDS } from "./entry_sessions.ts";

const FIRST: ProcessIdentifier = "entry-1~a";
const SECOND: ProcessIdentifier = "entry-2~a";

test("a renewal puts the expiry off", () => {
  const sessions = new EntrySessions();
  const session = sessions.open(0, FIRST);
  expect(sessions.nextExpiry(0)).toEqual(SESSION_MILLISECONDS);
  sessions.renew(100, FIRST, renewalOf(session));
  expect(sessions.nextExpiry(0)).toEqual(100 + SESSION_MILLISECONDS);
  expect(sessions.expire(SESSION_MILLISECONDS, 0)).toEqual([]);
});

test("only the session that was not renewed expires", () => {
  const sessions = new EntrySessions();
  sessions.open(0, FIRST);
  const session = sessions.open(0, SECOND);
  expect(sessions.nextExpiry(0)).toEqual(SESSION_MILLISECONDS);
  sessions.renew(100, SECOND, renewalOf(session));
  expect(sessions.expire(SESSION_MILLISECONDS, 0)).toEqual([FIRST]);
  expect(sessions.nextExpiry(0)).toEqual(100 + SESSION_MILLISECONDS);
});

test("a session does not expire before the renewals that have arrived were read", () => {
  const sessions = new EntrySessions();
  sessions.open(0, FIRST);
  expect(sessions.nextExpiry(0)).toEqual(SESSION_MILLISECONDS);
  const readUntil = SESSION_MILLISECONDS + 20;
  expect(sessions.nextExpiry(readUntil)).toEqual(readUntil);
  expect(sessions.expire(SESSION_MILLISECONDS, readUntil)).toEqual([]);
  expect(sessions.expire(readUntil, readUntil)).toEqual([FIRST]);
});

test("no session expires after the last one has ended", () => {
  const sessions = new EntrySessions();
  sessions.open(0, FIRST);
  expect(sessions.nextExpiry(0)).toEqual(SESSION_MILLISECONDS);
  sessions.end(FIRST);
  expect(sessions.nextExpiry(0)).toEqual(Infinity);
});

function renewalOf(session: number) {
  return { kind: DispatchRequestKind.RenewSession, session } as const;
}
