/**
 * Folds records of the log into a view of the fleet.
 */
import { ConfigurationTracker } from "@eelgrassfront/configuration";
import { FleetView } from "@eelgrassfront/membership";
import { InputKind, LogRecordKind, Role } from "@eelgrassfront/model";
import { OwnershipTable } from "@eelgrassfront/ownership";

const view = new FleetView({
  ownership: new OwnershipTable(),
  configuration: new ConfigurationTracker(),
  horizonMilliseconds: 600_000,
});
const record = {
  kind: LogRecordKind.MemberJoined,
  process: "entry-1~a",
  role: Role.Entry,
  availabilityZone: "wales-a",
  address: "10.0.1.10:7100",
} as const;
const changes = view.applyRead({
  kind: InputKind.LogRecordsRead,
  records: [{ offset: 1, appendedAt: 0, record }],
  firstRetained: 1,
  nextOffset: 2,
  isAtEnd: true,
  readStartedAt: 0,
  logClock: 0,
});
console.log(changes.map(({ kind }) => kind), view.members().length);
// prints: [ 'member-joined' ] 1
