/**
 * Core types of eelgrassfront, shared by every state machine and every adapter.
 */
export * from "./best_effort_job.ts";
export * from "./configuration.ts";
export * from "./crash_suspect.ts";
export * from "./decisions.ts";
export * from "./dispatch_input.ts";
export * from "./dispatch_message.ts";
export * from "./dispatch_output.ts";
export * from "./evacuation.ts";
export * from "./event.ts";
export * from "./identifiers.ts";
export * from "./log_record.ts";
export * from "./metric.ts";
export * from "./outcome.ts";
export * from "./output_collector.ts";
export * from "./peer_message.ts";
export * from "./process_error.ts";
export * from "./process_input.ts";
export * from "./process_output.ts";
export * from "./process_report.ts";
export * from "./resources.ts";
export * from "./submission.ts";
export * from "./work_configuration.ts";
export * from "./worker_call.ts";
export * from "./worker_requirements.ts";
