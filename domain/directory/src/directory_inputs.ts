/**
 * What a process hears of its store and its settings, taken alike by every role.
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
import type { FleetDirectory } from "./fleet_directory.ts";

/**
 * Takes an input of the store or of the settings.
 *
 * @returns whether a newer version of the configuration is in force
 */
export function handleDirectoryInput(
  input: DirectoryInput | SettingsChanged,
  directory: FleetDirectory,
  collector: OutputCollector<DispatchOutput>,
): boolean {
  switch (input.kind) {
    case DispatchInputKind.ConfigurationRead:
      return directory.updateConfiguration(input.configuration);
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
        "the platform's store answers again",
      );
      return false;
    case DispatchInputKind.SettingsChanged:
      collector.record(
        EventNumber.SettingsReloaded,
        "the settings were read again",
      );
      return false;
    case DispatchInputKind.AnnouncementStored:
    case DispatchInputKind.SavedWorkerRead:
      // The sidecar takes what is remembered of its worker itself.
      return false;
    default:
      return assertNever(input);
  }
}
