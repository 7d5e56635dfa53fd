/**
 * State machine of the runner role and the start records that it keeps.
 */
export * from "./runner_decisions.ts";
export {
  StartRecordStore as StartLedger,
  type StartRecordStoreOptions as StartLedgerOptions,
} from "./start_record_store.ts";
export type { Waiter } from "./task_record.ts";
