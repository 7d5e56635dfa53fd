/**
 * A sidecar announces its backend server by appending a record to the log.
 */
import { DEFAULT_TIMING } from "@eelgrassfront/membership";
import { InputKind, OutputKind } from "@eelgrassfront/model";
import { SidecarDecisions } from "@eelgrassfront/sidecar";

const sidecar = new SidecarDecisions({
  self: "sidecar-1~a",
  availabilityZone: "wales-a",
  address: "10.0.2.10:7100",
  timing: DEFAULT_TIMING,
  random: () => 0,
  shardCount: 64,
  ownerCount: 3,
  maximumAnswerBytes: 1_000_000,
  maximumResultBytes: 1_000_000,
  maximumQueuedTasks: 100,
});
const outputs = sidecar.step(0, {
  kind: InputKind.BackendServerDescribed,
  description: {
    service: "dossier",
    slots: 8,
    processorCores: 32,
    memoryMegabytes: 131_072,
    accelerators: 0,
  },
});
const appended = outputs.find(({ kind }) => kind === OutputKind.AppendRecord);
if (appended?.kind === OutputKind.AppendRecord) {
  console.log(appended.record.kind);
}
// prints: member-joined
