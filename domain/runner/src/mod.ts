/**
 * Decisions of the runner role and its start record.
 */
export * from "./runner_decisions.ts";
export { StartLedger, type StartLedgerOptions } from "./start_ledger.ts";
export type { Waiter } from "./task_record.ts";
