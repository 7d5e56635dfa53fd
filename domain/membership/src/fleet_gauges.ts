/**
 * Gauges of the fleet view.
 */
import { Gauge, type OutputCollector, OutputKind } from "@eelgrassfront/model";
import type { FleetView } from "./fleet_view.ts";

/** Sets the gauges of the log, the members and the configuration. */
export function setFleetGauges(
  view: FleetView,
  collector: OutputCollector,
): void {
  const values: ReadonlyMap<Gauge, number> = new Map([
    [Gauge.LogOffset, view.nextOffset],
    [Gauge.Members, view.members().length],
    [Gauge.ConfigurationOffset, view.configuration.current?.offset ?? 0],
  ]);
  for (const [gauge, value] of values) {
    collector.add({ kind: OutputKind.SetGauge, gauge, value });
  }
}
