/**
 * Kept answers under their bounds: content goes, the key stays, and a full book says so.
 */
import { test } from "node:test";
import {
  JobOutcomeKind,
  type RetainedAnswer,
  type SubmissionIdentifier,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { AnswerBook } from "./answer_book.ts";

const HORIZON_MILLISECONDS = 1_000;
const MAXIMUM_KEYS = 3;

test("an answer that goes for its weight becomes unknown and is not forgotten", () => {
  const book = bookOf(1_000);
  book.keep(0, answerOf("team/one"));
  book.keep(1, answerOf("team/two"));
  expect(book.find("team/one")?.outcome.kind).toEqual(JobOutcomeKind.Unknown);
  expect(book.find("team/two")?.outcome.kind).toEqual(JobOutcomeKind.Completed);
});

test("a book that cannot remember more keys is full, and forgets none of them", () => {
  const book = bookOf(0);
  const keys: SubmissionIdentifier[] = ["team/one", "team/two", "team/three"];
  for (const key of keys) {
    expect(book.isFull(0)).toEqual(false);
    book.keep(0, answerOf(key));
  }
  expect(book.isFull(0)).toEqual(true);
  expect(keys.every((key) => book.find(key) !== undefined)).toEqual(true);
});

test("a full book takes keys again after the horizon", () => {
  const book = bookOf(0);
  for (const key of ["team/one", "team/two", "team/three"] as const) {
    book.keep(0, answerOf(key));
  }
  expect(book.isFull(HORIZON_MILLISECONDS + 1)).toEqual(false);
});

function bookOf(maximumAnswerBytes: number): AnswerBook {
  return new AnswerBook({
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
