/**
 * A process's view of the fleet state, members and configuration, and the exchange of this state with peers.
 */
export * from "./directory_inputs.ts";
export { mergeEvacuations } from "./evacuation_changes.ts";
export * from "./fleet_directory.ts";
export * from "./fleet_state_exchange.ts";
