/**
 * Handling of the inputs from the platform's store and the settings, which is the same in every role.
 */
import {
  assertNever,
  type DirectoryInput,
  DispatchInputKind,
  type DispatchOutput,
  EventNumber,
  type OutputCollector,
  type SettingsChanged,
} from "@eelgrassfront/model";
import { applyEvacuationRead } from "./evacuation_changes.ts";
import type { FleetDirectory } from "./fleet_directory.ts";

/**
 * Applies an input from the store or the settings to the directory.
 *
 * @returns whether a newer version of the configuration came into force
 */
export function handleDirectoryInput(
  input: DirectoryInput | SettingsChanged,
  directory: FleetDirectory,
  collector: OutputCollector<DispatchOutput>,
): boolean {
  switch (input.kind) {
    case DispatchInputKind.ConfigurationRead:
      return directory.updateConfiguration(input.configuration);
    case DispatchInputKind.EvacuationsRead:
      applyEvacuationRead(input.read, directory, collector);
      return false;
    case DispatchInputKind.MembersRead:
      for (const member of input.members) directory.updateMember(member);
      for (const name of input.removedNames) directory.removeMember(name);
      return false;
    case DispatchInputKind.StoreUnavailable:
      collector.recordError(EventNumber.LogUnavailable, input.error);
      return false;
    case DispatchInputKind.StoreAvailable:
      collector.record(
        EventNumber.LogAvailable,
        "the platform's store is available again",
      );
      return false;
    case DispatchInputKind.SettingsChanged:
      collector.record(
        EventNumber.SettingsReloaded,
        "the settings were reloaded",
      );
      return false;
    case DispatchInputKind.AnnouncementStored:
    case DispatchInputKind.SavedWorkerRead:
      // The sidecar itself handles these.
      return false;
    default:
      return assertNever(input);
  }
}
