/**
 * Limits of the stored answers: the oldest lose their content but not their key, and a store at its key
 * limit reports that it is full.
 */
import { test } from "node:test";
import {
  JobOutcomeKind,
  type RetainedAnswer,
  type SubmissionIdentifier,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { AnswerStore } from "./answer_store.ts";

const HORIZON_MILLISECONDS = 1_000;
const MAXIMUM_KEYS = 3;

test("an answer evicted by the limit in bytes becomes unknown and keeps its key", () => {
  const store = createStore(1_000);
  store.add(0, answerOf("team/one"));
  store.add(1, answerOf("team/two"));
  expect(store.find("team/one")?.outcome.kind).toEqual(JobOutcomeKind.Unknown);
  expect(store.find("team/two")?.outcome.kind).toEqual(
    JobOutcomeKind.Completed,
  );
});

test("a store at its key limit is full and evicts no key", () => {
  const store = createStore(0);
  const keys: SubmissionIdentifier[] = ["team/one", "team/two", "team/three"];
  for (const key of keys) {
    expect(store.isFull(0)).toEqual(false);
    store.add(0, answerOf(key));
  }
  expect(store.isFull(0)).toEqual(true);
  expect(keys.every((key) => store.find(key) !== undefined)).toEqual(true);
});

test("a full store accepts keys again after the horizon", () => {
  const store = createStore(0);
  for (const key of ["team/one", "team/two", "team/three"] as const) {
    store.add(0, answerOf(key));
  }
  expect(store.isFull(HORIZON_MILLISECONDS + 1)).toEqual(false);
});

function createStore(maximumAnswerBytes: number): AnswerStore {
  return new AnswerStore({
    horizonMilliseconds: HORIZON_MILLISECONDS,
    maximumAnswerBytes,
    maximumKeys: MAXIMUM_KEYS,
  });
}

function answerOf(submission: SubmissionIdentifier): RetainedAnswer {
  return {
    submission,
    digest: "digest",
    outcome: { kind: JobOutcomeKind.Completed, results: ["result"] },
  };
}
