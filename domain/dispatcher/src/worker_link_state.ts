/**
 * A sidecar as an entry knows it: without a session, or with one and the load that it told last.
 */
import type {
  FleetMember,
  Milliseconds,
  ProcessIdentifier,
  RequestIdentifier,
  SessionNumber,
  WorkerLoad,
  WorkerProfile,
} from "@eelgrassfront/model";
import { OutlierDetector } from "@eelgrassfront/placement";

/** Time between attempts to open a session. */
export const SHORTEST_OPEN_MILLISECONDS: Milliseconds = 50;

/** Phases of a link. */
export enum LinkPhase {
  /** No session; one is asked for. */
  Opening = "opening",
  Open = "open",
}

/** A link without a session. */
export interface OpeningLink {
  readonly phase: LinkPhase.Opening;
  nextAskAt: Milliseconds;
  interval: Milliseconds;
  pending: RequestIdentifier | undefined;
  pendingSince: Milliseconds;
}

/** A link with a session. */
export interface OpenLink {
  readonly phase: LinkPhase.Open;
  readonly session: SessionNumber;
  heardAt: Milliseconds;
  nextRenewAt: Milliseconds;
  /** The worker that the sidecar guards; absent while none is known. */
  profile: WorkerProfile | undefined;
  /** Its latest load; absent when it is of another worker than the profile. */
  load: WorkerLoad | undefined;
  watch: RequestIdentifier | undefined;
  /** Another worker than the known one, for whose profile the session was renewed. */
  askedFor: string | undefined;
}

/** A sidecar as an entry knows it. */
export interface WorkerLinkState {
  readonly address: string;
  process: ProcessIdentifier;
  availabilityZone: string;
  state: OpeningLink | OpenLink;
  /** Newest session that was given up at the present run of the sidecar. */
  givenUp: SessionNumber;
  readonly failures: OutlierDetector;
  /** Before this time nothing is placed there, after a refusal. */
  avoidUntil: Milliseconds;
  /** Before this time nothing is placed there while it is slow; a task now and then shows how fast it is. */
  nextTrialAt: Milliseconds;
  /** Requests to run tasks that were sent in the session. */
  requestsSent: number;
}

/** A link to a member that was not known. */
export function newLink(member: FleetMember): WorkerLinkState {
  return {
    address: member.address,
    process: member.process,
    availabilityZone: member.availabilityZone,
    state: openingLink(),
    givenUp: 0,
    failures: new OutlierDetector(),
    avoidUntil: 0,
    nextTrialAt: 0,
    requestsSent: 0,
  };
}

/** The state of a link that asks for its first session, or for another. */
export function openingLink(): OpeningLink {
  return {
    phase: LinkPhase.Opening,
    nextAskAt: 0,
    interval: SHORTEST_OPEN_MILLISECONDS,
    pending: undefined,
    pendingSince: 0,
  };
}
