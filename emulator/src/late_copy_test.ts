/**
 * Copies of a job that reach an entry so late that they look like resubmissions.
 */
import { test } from "node:test";
import { type ClientAnswer, ClientAnswerKind } from "@eelgrassfront/model";
import { expect } from "earl";
import { OverlappingRunsHarness } from "./overlapping_runs_harness.ts";

// The copy of the client that waits is given up for one whose client has left.
for (const delay of [1_190, 1_250, 2_000]) {
  test(`a copy that arrives ${delay} ms late does not end the copy whose client waits`, () => {
    const harness = new OverlappingRunsHarness();
    const answers: ClientAnswer[] = [];
    harness.submit(1, "job", 3_000, (answer) => answers.push(answer));
    harness.advance(delay);
    const late = harness.submit(0, "job", 3_000);
    harness.advance(20);
    harness.disconnect(late);
    harness.advance(8_000);
    expect(harness.overlaps).toEqual([]);
    expect(answers.map(({ kind }) => kind)).toEqual([ClientAnswerKind.Ended]);
  });
}
