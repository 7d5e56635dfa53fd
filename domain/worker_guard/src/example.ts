/**
 * The first step of a sidecar announces it to the fleet.
 */
import { InputKind, Role } from "@eelgrassfront/model";
import { WorkerGuardDecisions } from "@eelgrassfront/worker-guard";

const guard = new WorkerGuardDecisions({
  self: {
    process: "sidecar-1~a",
    role: Role.Sidecar,
    address: "127.0.0.1:7720",
    availabilityZone: "zone-a",
  },
  seeds: [],
  firstFencingToken: 1,
  leaseMilliseconds: 1_000,
  graceMilliseconds: 6_000,
  stopMilliseconds: 50,
});
const outputs = guard.step(0, { kind: InputKind.AlarmFired });
console.log(outputs.map(({ kind }) => kind).join());
// prints: announce
