/**
 * State of an entry's link to a sidecar: unused, without a session, or with a session and the load that the
 * sidecar reported last.
 */
import type { ZoneEvacuations } from "@eelgrassfront/evacuation";
import {
  DispatchRequestKind,
  type FleetMember,
  type Milliseconds,
  type ProcessIdentifier,
  type RenewSession,
  type RequestIdentifier,
  type SessionGranted,
  type SessionNumber,
  type WorkerLoad,
  type WorkerProfile,
} from "@eelgrassfront/model";
import { OutlierDetector } from "@eelgrassfront/placement";

/** Initial interval between attempts to open a session. */
export const INITIAL_OPEN_INTERVAL_MILLISECONDS: Milliseconds = 50;

/** Phases of a link. */
export enum LinkPhase {
  /** The entry does not use the sidecar. */
  Unused = "unused",
  /** There is no session; the entry requests one. */
  Opening = "opening",
  Open = "open",
}

/** A link to a sidecar that the entry does not use. */
export interface UnusedLink {
  readonly phase: LinkPhase.Unused;
}

/** State of every unused link. */
export const UNUSED_LINK: UnusedLink = { phase: LinkPhase.Unused };

/** A link without a session. */
export interface OpeningLink {
  readonly phase: LinkPhase.Opening;
  nextOpenAt: Milliseconds;
  retryInterval: Milliseconds;
  pendingRequest: RequestIdentifier | undefined;
  pendingSince: Milliseconds;
}

/** A request to watch the load for a waiting job. */
export interface LoadWatch {
  readonly request: RequestIdentifier;
  readonly priority: number;
}

/** A link with a session. */
export interface OpenLink {
  readonly phase: LinkPhase.Open;
  readonly session: SessionNumber;
  lastReplyAt: Milliseconds;
  nextRenewAt: Milliseconds;
  /** Sidecar's clock in its latest reply; absent for a sidecar of an earlier version. */
  sidecarClock: Milliseconds | undefined;
  /** When the first renewal without a reply was sent; undefined while there is none. */
  unansweredSince: Milliseconds | undefined;
  /** Profile of the sidecar's worker; absent while no worker is known. */
  profile: WorkerProfile | undefined;
  /** Latest load of the worker; absent when it was reported for another worker than the profile's. */
  load: WorkerLoad | undefined;
  /** Pending request to watch the load; absent while there is none. */
  watch: LoadWatch | undefined;
  /** Worker whose load was reported without a profile; the session was renewed early to get its profile. */
  unprofiledWorker: string | undefined;
  /** Offset of the evacuated zones that the session carried last; undefined if it may not have carried any. */
  carriedEvacuations: number | undefined;
}

/** The link to a sidecar, with the health of its worker. */
export interface WorkerLinkState {
  readonly address: string;
  process: ProcessIdentifier;
  availabilityZone: string;
  /** Whether the operators have evacuated the sidecar's availability zone; nothing is placed there. */
  isEvacuated: boolean;
  state: UnusedLink | OpeningLink | OpenLink;
  /** Newest session that was given up with the present incarnation of the sidecar; 0 for none. */
  givenUp: SessionNumber;
  readonly detector: OutlierDetector;
  /** Time before which nothing is placed at the sidecar after a refusal or a stalled task. */
  avoidUntil: Milliseconds;
  /** Time of the next probe task while the worker is slow; nothing is placed there before. */
  nextProbeAt: Milliseconds;
  /** Since when the worker counts as slow; undefined while it does not. */
  slowSince: Milliseconds | undefined;
  /** Number of requests to run tasks that were sent in the session. */
  requestsSent: number;
}

/** Kinds of changes of a link. */
export enum LinkChangeKind {
  /** The session was given up; the sidecar ends its tasks. */
  Lost = "lost",
  /** A new session was granted: all tasks of earlier sessions have ended. */
  Opened = "opened",
  /** The session continues after a connection loss; unanswered requests must be sent again. */
  Resumed = "resumed",
}

/** The session was given up. */
export interface LinkLost {
  readonly kind: LinkChangeKind.Lost;
  readonly link: WorkerLinkState;
  /** When the session has certainly ended at the sidecar, which then stops its tasks. */
  readonly sessionEndsAt: Milliseconds;
}

/** A session was opened or continues. */
export interface LinkOpened {
  readonly kind: LinkChangeKind.Opened | LinkChangeKind.Resumed;
  readonly link: WorkerLinkState;
}

/** A change of one link. */
export type LinkChange = LinkLost | LinkOpened;

/** Whether the worker of a link takes tasks of this entry now. */
export function isTakingWork({ state, isEvacuated }: WorkerLinkState): boolean {
  return state.phase === LinkPhase.Open && !isEvacuated &&
    state.load?.isTakingWork === true;
}

/** Returns the renewal of a session, with the evacuated zones where the session has not carried them yet. */
export function renewalOf(
  state: OpenLink,
  { isInUse, state: evacuations }: ZoneEvacuations,
): RenewSession {
  const isCarried = !isInUse || state.carriedEvacuations === evacuations.offset;
  if (!isCarried) state.carriedEvacuations = evacuations.offset;
  return {
    kind: DispatchRequestKind.RenewSession,
    session: state.session,
    ...knownStateOf(state),
    ...(isCarried ? {} : { evacuations }),
  };
}
/** What the entry knows of a worker, as a renewal states it. */
export type KnownState = Omit<RenewSession, "kind" | "session">;

type Mutable<Type> = { -readonly [Key in keyof Type]: Type[Key] };

/** Returns what the entry knows of a worker, which the reply to a renewal leaves out. */
function knownStateOf(
  { profile, load, sidecarClock }: OpenLink,
): KnownState {
  const known: Mutable<KnownState> = {};
  if (sidecarClock !== undefined) known.knownClock = sidecarClock;
  if (profile !== undefined) known.knownWorker = profile.worker;
  if (profile?.revision !== undefined) known.knownProfile = profile.revision;
  if (load !== undefined) known.knownRevision = load.revision;
  return known;
}

/** Returns an unused link to a newly discovered sidecar. */
export function newLink(member: FleetMember): WorkerLinkState {
  return {
    address: member.address,
    process: member.process,
    availabilityZone: member.availabilityZone,
    isEvacuated: false,
    state: UNUSED_LINK,
    givenUp: 0,
    detector: new OutlierDetector(),
    avoidUntil: 0,
    nextProbeAt: 0,
    slowSince: undefined,
    requestsSent: 0,
  };
}

/** Returns the state of a link that requests a session at once. */
export function newOpeningLink(): OpeningLink {
  return {
    phase: LinkPhase.Opening,
    nextOpenAt: 0,
    retryInterval: INITIAL_OPEN_INTERVAL_MILLISECONDS,
    pendingRequest: undefined,
    pendingSince: 0,
  };
}

/** Returns the state of a link whose session was granted. */
export function newOpenLink(
  { session, profile, load, clock }: SessionGranted,
  now: Milliseconds,
  nextRenewAt: Milliseconds,
): OpenLink {
  return {
    phase: LinkPhase.Open,
    session,
    lastReplyAt: now,
    nextRenewAt,
    sidecarClock: clock,
    unansweredSince: undefined,
    profile,
    load,
    watch: undefined,
    unprofiledWorker: undefined,
    carriedEvacuations: undefined,
  };
}

/** Records the sidecar's clock of a reply; replies may overtake each other. */
export function updateClock(
  state: OpenLink,
  clock: Milliseconds | undefined,
): void {
  if (clock === undefined) return;
  state.sidecarClock = Math.max(state.sidecarClock ?? clock, clock);
}
