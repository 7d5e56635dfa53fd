/**
 * State machine of the runner role and the start records that it keeps.
 */
export * from "./runner_decisions.ts";
export {
  StartRecordStore,
  type StartRecordStoreOptions,
} from "./start_record_store.ts";
export type { Waiter } from "./task_record.ts";
