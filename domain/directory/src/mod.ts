/**
 * Members and configuration as one process knows them, and how peers tell each other.
 */
export * from "./directory_inputs.ts";
export * from "./fleet_directory.ts";
export * from "./fleet_state_exchange.ts";
