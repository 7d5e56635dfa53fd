/**
 * Jobs that two entries hold at the same time, since the client of the first one has submitted its job again
 * through another one.
 */
import { test } from "node:test";
import {
  type ClientAnswer,
  ClientAnswerKind,
  type Milliseconds,
} from "@eelgrassfront/model";
import { expect } from "earl";
import {
  OverlappingRunsHarness,
  RESUBMISSION_MILLISECONDS,
} from "./overlapping_runs_harness.ts";

const RUN_MILLISECONDS: Milliseconds = 3_000;

// The entry never reads the end of the client's connection, as after a lost packet.
test("a job whose client has left unnoticed does not run beside its resubmission", () => {
  const harness = new OverlappingRunsHarness();
  const answers: ClientAnswer[] = [];
  harness.submit(0, "job", RUN_MILLISECONDS);
  harness.advance(RESUBMISSION_MILLISECONDS);
  harness.submit(1, "job", RUN_MILLISECONDS, (answer) => answers.push(answer));
  harness.advance(8_000);
  expect(harness.overlaps).toEqual([]);
  expect(answers.map(({ kind }) => kind)).toEqual([ClientAnswerKind.Ended]);
});

for (const delay of [10, 100, 1_000]) {
  test(`a job that reaches its entry ${delay} ms after its resubmission reached another one does not run beside it`, () => {
    const harness = new OverlappingRunsHarness();
    const answers: ClientAnswer[] = [];
    harness.submit(
      1,
      "job",
      RUN_MILLISECONDS,
      (answer) => answers.push(answer),
    );
    harness.advance(delay);
    harness.submit(0, "job", RUN_MILLISECONDS);
    harness.advance(8_000);
    expect(harness.overlaps).toEqual([]);
    expect(answers.map(({ kind }) => kind)).toEqual([ClientAnswerKind.Ended]);
  });
}
