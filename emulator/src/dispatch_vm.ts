/**
 * VMs of an emulated deployment for best-effort work, and the options of the deployment.
 */
import {
  type DispatchInput,
  type DispatchOutput,
  ErrorTag,
  InputKind,
  type Milliseconds,
  type ProcessEvent,
  type ProcessIdentifier,
  processIdentifier,
  processName,
  type RequestIdentifier,
  type Role,
  type StateMachine,
  Step,
} from "@eelgrassfront/model";
import type { FakeWorker, WorkerObserver } from "./fake_worker.ts";
import type { VirtualProcess } from "./virtual_process.ts";

/** Interval of a worker's reports. */
export const REPORT_MILLISECONDS: Milliseconds = 1_500;
/** The longest lease that a worker grants. */
export const LEASE_MILLISECONDS: Milliseconds = 1_000;
/** Longest time that a worker needs to stop a run. */
export const STOP_MILLISECONDS: Milliseconds = 50;
/** Time between the request to stop and the kill of a process. */
export const GRACE_MILLISECONDS: Milliseconds = 6_000;
/** Time after which a client whose connection has broken submits its job again. */
export const RESUBMISSION_MILLISECONDS: Milliseconds = 1_300;

/** The process on a VM. */
export type DispatchProcess = VirtualProcess<DispatchInput, DispatchOutput>;

/** Number of processes, spread evenly over the availability zones. */
export interface FleetSize {
  readonly entries: number;
  readonly workers: number;
  readonly zones: number;
}

/** A kind of worker: its size, and its run times as a multiple of the nominal ones. */
export interface WorkerKind {
  readonly label: string;
  readonly capacityMillicores: number;
  readonly runFactor: number;
}

/** Options of a `DispatchSystem`. */
export interface DispatchSystemOptions {
  readonly seed: number;
  readonly fleet: FleetSize;
  readonly capacityMillicores: number;
  /** Kinds of the workers, repeated over the sidecars; `capacityMillicores` applies without them. */
  readonly workerKinds?: readonly WorkerKind[];
  /** Labels of the first worker of each sidecar, by its index; none by default. */
  readonly workerLabels?: readonly (readonly string[])[];
  readonly observer: WorkerObserver;
  readonly runMilliseconds: (content: string) => Milliseconds;
  /** Time after which a task with this content crashes its worker; the worker then returns after 3 s. */
  readonly crashMilliseconds?: (content: string) => Milliseconds | undefined;
  readonly onEvent?: (process: ProcessIdentifier, event: ProcessEvent) => void;
  /** Wraps the state machine of a process, so that tests can disable a mechanism. */
  readonly wrapDecisions?: (
    role: Role,
    machine: StateMachine<DispatchInput, DispatchOutput>,
  ) => StateMachine<DispatchInput, DispatchOutput>;
}

/** One VM: its process and, for a sidecar, its worker. */
export interface DispatchVm {
  readonly name: string;
  readonly role: Role;
  process: DispatchProcess;
  worker: FakeWorker | undefined;
  incarnations: number;
  /** Time until which what clients send to this VM is held up. */
  heldUntil: Milliseconds;
}

/** Returns the availability zone of a process: the VMs of a role are spread by their number. */
export function zoneOf(identifier: ProcessIdentifier, zones: number): string {
  const number = Number(processName(identifier).split("-").at(-1));
  return `zone-${number % zones}`;
}

/**
 * Returns the size and the speed of a sidecar's worker, by the number of its VM. The kinds are rotated, since
 * zones are assigned by the number too and each zone has workers of all kinds.
 */
export function workerSizeOf(
  { workerKinds = [], capacityMillicores }: DispatchSystemOptions,
  vmName: string,
): Pick<WorkerKind, "capacityMillicores" | "runFactor"> {
  const index = Number(vmName.split("-").at(-1)) - 1;
  const kind = workerKindAt(workerKinds, index);
  return {
    capacityMillicores: kind?.capacityMillicores ?? capacityMillicores,
    runFactor: kind?.runFactor ?? 1,
  };
}

/** Returns the kind of the worker with this position among the sidecars. */
export function workerKindAt(
  kinds: readonly WorkerKind[],
  index: number,
): WorkerKind | undefined {
  const count = Math.max(1, kinds.length);
  return kinds[(index + Math.floor(index / count)) % count];
}

/** Returns the name for the network, without an incarnation: links are cut between VMs. */
export function vmNameOf({ identifier }: DispatchProcess): ProcessIdentifier {
  return processIdentifier(processName(identifier), "");
}

/** Returns the key of a request that waits for a reply. */
export function outstandingKey(
  receiver: ProcessIdentifier,
  sender: ProcessIdentifier,
  request: RequestIdentifier,
): string {
  return `${receiver} ${sender} ${request}`;
}

/** Returns the input of a process whose request to a peer was lost. */
export function requestLost(
  peer: ProcessIdentifier,
  request: RequestIdentifier,
): DispatchInput {
  return {
    kind: InputKind.PeerRequestLost,
    peer,
    request,
    error: {
      tag: ErrorTag.ConnectionLost,
      step: Step.CallPeer,
      peer,
      detail: "the connection ended",
    },
  };
}
