/**
 * The operators' configuration: kinds of work, teams, prices and limits. It is published as a
 * whole.
 */
import type { Milliseconds } from "./identifiers.ts";

/** Rules for one kind of work. */
export interface KindOfWork {
  readonly name: string;
  /** Backend service that runs the tasks. */
  readonly service: string;
  /** Share of the fleet under contention, relative to the other kinds. */
  readonly weight: number;
  /** Share of the fleet, from 0 to 1, that is reserved for the kind regardless of the load of the others. */
  readonly floor: number;
  /** Refused attempts at one task after which the job ends as `retries-exhausted`. */
  readonly maximumAttempts: number;
  readonly defaultDeadlineMilliseconds: Milliseconds;
  /** Price of one second of run time, in thousandths of the billing currency. */
  readonly pricePerSecond: number;
}

/** Rules for one team. */
export interface Team {
  readonly name: string;
  readonly weight: number;
  /** Tasks of the team that may be waiting or running at once. */
  readonly maximumTasksInFlight: number;
}

/** Limits that apply to all teams and kinds of work. */
export interface Limits {
  readonly maximumTasksPerJob: number;
  /** Retries allowed as a share of first attempts, from 0 to 1. */
  readonly retryBudget: number;
  /** Tasks that may wait at one owner. */
  readonly maximumQueuedTasks: number;
}

/** A whole configuration. */
export interface Configuration {
  readonly kindsOfWork: readonly KindOfWork[];
  readonly teams: readonly Team[];
  readonly limits: Limits;
}
