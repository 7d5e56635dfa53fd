/**
 * Application of newer evacuations to the directory, with the events and the gauge of what changed.
 */
import {
  assertNever,
  type DispatchOutput,
  type EvacuationRead,
  type EvacuationState,
  EventNumber,
  Gauge,
  type OutputCollector,
  OutputKind,
  type ZoneChange,
  ZoneChangeKind,
} from "@eelgrassfront/model";
import type { FleetDirectory } from "./fleet_directory.ts";

/** Applies a read of the operators' topic. */
export function applyEvacuationRead(
  read: EvacuationRead,
  directory: FleetDirectory,
  collector: OutputCollector<DispatchOutput>,
): void {
  report(directory.evacuations.apply(read), directory, collector);
}

/** Applies the evacuated zones that a peer sent, if they are newer. */
export function mergeEvacuations(
  state: EvacuationState | undefined,
  directory: FleetDirectory,
  collector: OutputCollector<DispatchOutput>,
): void {
  if (state === undefined) return;
  report(directory.evacuations.merge(state), directory, collector);
}

function report(
  changes: readonly ZoneChange[],
  { evacuations }: FleetDirectory,
  collector: OutputCollector<DispatchOutput>,
): void {
  if (changes.length === 0) return;
  const { offset, zones } = evacuations.state;
  for (const { kind, zone } of changes) {
    const context = { zone, offset };
    switch (kind) {
      case ZoneChangeKind.Evacuated:
        collector.record(
          EventNumber.ZoneEvacuated,
          "an availability zone is evacuated; no task starts there",
          { context },
        );
        break;
      case ZoneChangeKind.Restored:
        collector.record(
          EventNumber.ZoneRestored,
          "an availability zone is restored; tasks start there again",
          { context },
        );
        break;
      default:
        assertNever(kind);
    }
  }
  collector.add({
    kind: OutputKind.SetGauge,
    gauge: Gauge.EvacuatedZones,
    value: zones.length,
  });
}
