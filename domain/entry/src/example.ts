/**
 * Rejects a status query, since the entry knows neither the configuration nor the fleet yet.
 */
import { EntryDecisions } from "@eelgrassfront/entry";
import { DEFAULT_TIMING } from "@eelgrassfront/membership";
import { CallerAnswerKind, InputKind, OutputKind } from "@eelgrassfront/model";

const entry = new EntryDecisions({
  self: "entry-1~a",
  availabilityZone: "wales-a",
  address: "10.0.1.10:7100",
  timing: DEFAULT_TIMING,
  shardCount: 64,
  maximumPending: 100,
});
const outputs = entry.step(0, {
  kind: InputKind.StatusRequested,
  request: "entry-1~a:1",
  submission: "assessors/dossier-4711",
});
const answered = outputs.find(({ kind }) => kind === OutputKind.AnswerCaller);
if (
  answered?.kind === OutputKind.AnswerCaller &&
  answered.answer.kind === CallerAnswerKind.Rejection
) console.log(answered.answer.reason);
// prints: entry-not-ready
