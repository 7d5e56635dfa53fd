/**
 * Evacuation of availability zones by the operators: no task starts at a worker of an evacuated zone.
 */

/** The evacuated zones up to an offset of the operators' topic; of two states, the one with the higher offset holds. */
export interface EvacuationState {
  /** Offset up to which the operators' topic was read. */
  readonly offset: number;
  readonly zones: readonly string[];
}

/** Extents of a read of the operators' topic. */
export enum EvacuationReadKind {
  /** The newest records of all keys: a zone without a record is not evacuated. */
  Complete = "complete",
  /** The records since the earlier read: a zone without a record is as it was. */
  Changes = "changes",
}

/** Changes of a zone. */
export enum ZoneChangeKind {
  Evacuated = "evacuated",
  Restored = "restored",
}

/** The operators evacuated or restored a zone. */
export interface ZoneChange {
  readonly kind: ZoneChangeKind;
  readonly zone: string;
}

/** The operators' topic was read completely. */
export interface CompleteEvacuationRead {
  readonly kind: EvacuationReadKind.Complete;
  readonly state: EvacuationState;
}

/** The operators' topic was read on from an earlier read of this process. */
export interface EvacuationChangesRead {
  readonly kind: EvacuationReadKind.Changes;
  /** Offset up to which the topic was read. */
  readonly offset: number;
  /** In the order of the topic. */
  readonly changes: readonly ZoneChange[];
}

/** A read of the operators' topic. */
export type EvacuationRead = CompleteEvacuationRead | EvacuationChangesRead;
