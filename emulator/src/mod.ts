/**
 * Runs the production decision code in virtual time, with in-memory fakes in place of the adapters.
 */
export * from "./fake_backend_server.ts";
export * from "./fake_log.ts";
export * from "./fake_network.ts";
export * from "./fault_injector.ts";
export * from "./fault_schedule.ts";
export * from "./load_arrivals.ts";
export * from "./load_bound.ts";
export * from "./load_player.ts";
export * from "./load_value.ts";
export * from "./randomized_run.ts";
export * from "./run_checker.ts";
export * from "./sample_work.ts";
export * from "./seeded_random.ts";
export * from "./start_counter.ts";
export * from "./user_loads.ts";
export * from "./virtual_process.ts";
export * from "./virtual_system.ts";
export * from "./virtual_time.ts";
export * from "./workload.ts";
