/**
 * Sessions of an entry with the sidecars. A sidecar that leaves renewals unanswered is lost: its session
 * is given up and renewed no more, so that its work ends by itself, and the tasks there may be placed
 * again when that has certainly happened, or when the sidecar says so by opening a new session.
 */
import type { FleetDirectory } from "@eelgrassfront/directory";
import {
  assertNever,
  type DispatchOutput,
  type DispatchReply,
  DispatchReplyKind,
  type DispatchRequest,
  DispatchRequestKind,
  EventNumber,
  type IncomingReply,
  type Milliseconds,
  type OutputCollector,
  OutputKind,
  PeerReplyKind,
  type ProcessIdentifier,
  type RequestIdentifier,
  Role,
  type SessionGranted,
  type SessionNumber,
  Severity,
  type WorkerLoad,
} from "@eelgrassfront/model";
import {
  LinkPhase,
  newLink,
  type OpeningLink,
  openingLink,
  type OpenLink,
  SHORTEST_OPEN_MILLISECONDS,
  type WorkerLinkState,
} from "./worker_link_state.ts";

/** Time between renewals: a third of a session's time. */
const RENEW_MILLISECONDS: Milliseconds = 200;
/** Silence after which a sidecar is lost: two renewals without an answer. */
const SILENCE_MILLISECONDS: Milliseconds = 450;
/** A sidecar that is gone is asked for a session ever more rarely, but so often still. */
const LONGEST_OPEN_MILLISECONDS: Milliseconds = 500;

/**
 * How often an entry wants to hear of changed loads while its jobs wait: several round trips. While there
 * is room the loads that come with renewals and settlements are enough.
 */
const WATCH_MILLISECONDS: Milliseconds = 20;

/** What happened to a link. */
export enum LinkChangeKind {
  /** The session was given up; its work ends by itself. */
  Lost = "lost",
  /** A new session: everything of earlier ones has ended. */
  Opened = "opened",
  /** The connection was cut and the session goes on: requests without an answer are repeated. */
  Resumed = "resumed",
}

/** A change of a link. */
export interface LinkChange {
  readonly kind: LinkChangeKind;
  readonly link: WorkerLinkState;
}

/** What the links need. */
export interface WorkerLinksOptions {
  readonly collector: OutputCollector<DispatchOutput>;
  readonly directory: FleetDirectory;
  /** Whether jobs wait for room. */
  readonly isHungry: () => boolean;
}

enum CallPurpose {
  Open = "open",
  Renew = "renew",
  Watch = "watch",
}

interface PendingCall {
  readonly purpose: CallPurpose;
  readonly address: string;
  readonly session: SessionNumber;
}

/** Links to all sidecars. */
export class WorkerLinks {
  readonly #options: WorkerLinksOptions;
  readonly #links = new Map<string, WorkerLinkState>();
  readonly #calls = new Map<RequestIdentifier, PendingCall>();
  #adoptedRevision = -1;
  #isRemovalPending = false;
  /** Links whose connection was cut since the last renewal that was answered. */
  readonly #cut = new Set<string>();

  constructor(options: WorkerLinksOptions) {
    this.#options = options;
  }

  /** All links. */
  all(): readonly WorkerLinkState[] {
    return [...this.#links.values()];
  }

  /** Finds a link. */
  find(address: string): WorkerLinkState | undefined {
    return this.#links.get(address);
  }

  /** Whether a request was made by the links themselves. */
  owns(request: RequestIdentifier): boolean {
    return this.#calls.has(request);
  }

  /** Sends what is due. Returns the links that were lost. */
  tick(): readonly LinkChange[] {
    this.#adoptMembers();
    const { now } = this.#options.collector;
    const changes: LinkChange[] = [];
    for (const link of this.#links.values()) {
      const { state } = link;
      const isSilent = state.phase === LinkPhase.Open &&
        now >= state.heardAt + SILENCE_MILLISECONDS;
      if (isSilent) changes.push(this.#lose(link, "no answer to renewals"));
      this.#sendDue(link);
    }
    return changes;
  }

  /** When something is due. */
  nextAlarm(): Milliseconds | undefined {
    const times = this.all().map(({ state }) => {
      switch (state.phase) {
        case LinkPhase.Opening:
          return state.pending === undefined
            ? state.nextAskAt
            : state.pendingSince + SILENCE_MILLISECONDS;
        case LinkPhase.Open:
          return Math.min(
            state.nextRenewAt,
            state.heardAt + SILENCE_MILLISECONDS,
          );
        default:
          return assertNever(state);
      }
    });
    return times.length === 0 ? undefined : Math.min(...times);
  }

  /** Takes the reply to a call of the links. */
  takeReply(input: IncomingReply<DispatchReply>): readonly LinkChange[] {
    const call = this.#calls.get(input.request);
    this.#calls.delete(input.request);
    const link = this.#links.get(call?.address ?? "");
    if (call === undefined || link === undefined) return [];
    const { message } = input;
    switch (message.kind) {
      case DispatchReplyKind.SessionGranted:
        return this.#takeGrant(link, message);
      case DispatchReplyKind.SessionPending:
        return this.#takePending(link, call);
      case DispatchReplyKind.LoadReported:
        this.#takeWatch(link, call, message.load);
        return [];
      case DispatchReplyKind.TaskSettled:
      case DispatchReplyKind.CancellationAcknowledged:
      case DispatchReplyKind.FleetStateExchanged:
      case DispatchReplyKind.Misdirected:
        return [];
      case PeerReplyKind.IncarnationMismatch:
        return this.#takeOtherRun(link, message.current);
      default:
        return assertNever(message);
    }
  }

  /** Takes the loss of a call of the links. */
  takeLoss(request: RequestIdentifier): void {
    const call = this.#calls.get(request);
    this.#calls.delete(request);
    const link = this.#links.get(call?.address ?? "");
    if (call === undefined || link === undefined) return;
    this.noteCut(link);
    const { state } = link;
    if (state.phase === LinkPhase.Opening && state.pending === request) {
      this.#askLater(state);
    }
  }

  /** Notes that a connection was cut: the session is renewed at once, over a new one. */
  noteCut(link: WorkerLinkState): void {
    if (link.state.phase !== LinkPhase.Open) return;
    const { now } = this.#options.collector;
    link.state.watch = undefined;
    if (this.#cut.has(link.address)) return;
    this.#cut.add(link.address);
    link.state.nextRenewAt = now;
  }

  /** Takes a load that came with an answer, unless a newer one is known. */
  takeLoad(link: WorkerLinkState, load: WorkerLoad | undefined): void {
    const { state } = link;
    if (state.phase !== LinkPhase.Open) return;
    state.heardAt = this.#options.collector.now;
    if (load === undefined || load.worker !== state.profile?.worker) {
      // Another worker than the known one: the next renewal tells what it is.
      const worker = load?.worker;
      const isNews = worker !== undefined && worker !== state.askedFor;
      state.askedFor = worker;
      if (isNews) state.nextRenewAt = this.#options.collector.now;
      state.load = undefined;
      return;
    }
    const known = state.load;
    const isOlder = known !== undefined && (load.revision < known.revision ||
      load.requestsTaken < known.requestsTaken);
    if (!isOlder) state.load = load;
  }

  /** Takes the identity of another run that answered at the address of a link. */
  takeOtherRun(
    address: string,
    current: ProcessIdentifier,
  ): readonly LinkChange[] {
    const link = this.#links.get(address);
    return link === undefined ? [] : this.#takeOtherRun(link, current);
  }

  /** Gives up every session, after a pause of this process. */
  loseAll(reason: string): readonly LinkChange[] {
    return this.all()
      .filter(({ state }) => state.phase === LinkPhase.Open)
      .map((link) => this.#lose(link, reason));
  }

  #sendDue(link: WorkerLinkState): void {
    const { state } = link;
    switch (state.phase) {
      case LinkPhase.Opening:
        this.#askForSession(link, state);
        return;
      case LinkPhase.Open:
        if (this.#options.collector.now >= state.nextRenewAt) {
          this.#renew(link, state);
        }
        this.#watch(link, state);
        return;
      default:
        assertNever(state);
    }
  }

  #adoptMembers(): void {
    const { directory, collector } = this.#options;
    // A link to a member that has left stays until its session is lost.
    const isSettled = this.#adoptedRevision === directory.membersRevision &&
      !this.#isRemovalPending;
    if (isSettled) return;
    this.#adoptedRevision = directory.membersRevision;
    this.#isRemovalPending = false;
    const members = directory.membersOf(Role.Sidecar);
    for (const member of members) {
      const known = this.#links.get(member.address);
      if (known === undefined) this.#links.set(member.address, newLink(member));
    }
    const addresses = new Set(members.map(({ address }) => address));
    for (const [address, link] of this.#links) {
      if (addresses.has(address)) continue;
      if (link.state.phase === LinkPhase.Open) {
        this.#isRemovalPending = true;
        continue;
      }
      this.#links.delete(address);
      collector.record(EventNumber.MemberRemoved, "a sidecar has left", {
        context: { member: link.process, address },
      });
    }
  }

  #askForSession(link: WorkerLinkState, state: OpeningLink): void {
    const { now } = this.#options.collector;
    if (state.pending !== undefined) {
      if (now < state.pendingSince + SILENCE_MILLISECONDS) return;
      this.#calls.delete(state.pending);
      this.#askLater(state);
    }
    if (now < state.nextAskAt) return;
    state.pendingSince = now;
    state.pending = this.#send(link, CallPurpose.Open, 0, {
      kind: DispatchRequestKind.OpenSession,
      givenUp: link.givenUp,
    });
  }

  #askLater(state: OpeningLink): void {
    state.pending = undefined;
    state.nextAskAt = this.#options.collector.now + state.interval;
    state.interval = Math.min(2 * state.interval, LONGEST_OPEN_MILLISECONDS);
  }

  #renew(link: WorkerLinkState, state: OpenLink): void {
    state.nextRenewAt = this.#options.collector.now + RENEW_MILLISECONDS;
    const { session } = state;
    this.#send(link, CallPurpose.Renew, session, {
      kind: DispatchRequestKind.RenewSession,
      session,
    });
  }

  #watch(link: WorkerLinkState, state: OpenLink): void {
    if (state.watch !== undefined || !this.#options.isHungry()) return;
    state.watch = this.#send(link, CallPurpose.Watch, state.session, {
      kind: DispatchRequestKind.WatchLoad,
      knownRevision: state.load?.revision ?? -1,
      intervalMilliseconds: WATCH_MILLISECONDS,
    });
  }

  #takeGrant(
    link: WorkerLinkState,
    { session, profile, load }: SessionGranted,
  ): readonly LinkChange[] {
    const { state } = link;
    const { now } = this.#options.collector;
    if (state.phase === LinkPhase.Open) {
      if (state.session !== session) return [];
      state.profile = profile;
      this.takeLoad(link, load);
      return this.#cut.delete(link.address)
        ? [{ kind: LinkChangeKind.Resumed, link }]
        : [];
    }
    if (session <= link.givenUp) {
      this.#askLater(state);
      return [];
    }
    link.requestsSent = 0;
    this.#cut.delete(link.address);
    const opened: OpenLink = {
      phase: LinkPhase.Open,
      session,
      heardAt: now,
      nextRenewAt: now + RENEW_MILLISECONDS,
      profile,
      load,
      watch: undefined,
      askedFor: undefined,
    };
    link.state = opened;
    this.#options.collector.record(
      EventNumber.SessionOpened,
      "a session with a sidecar is open",
      {
        context: {
          sidecar: link.process,
          session,
          worker: load?.worker ?? "unknown",
        },
      },
    );
    return [{ kind: LinkChangeKind.Opened, link }];
  }

  #takePending(
    link: WorkerLinkState,
    { purpose, session }: PendingCall,
  ): readonly LinkChange[] {
    const { state } = link;
    if (state.phase === LinkPhase.Opening) {
      state.interval = SHORTEST_OPEN_MILLISECONDS;
      this.#askLater(state);
      state.interval = SHORTEST_OPEN_MILLISECONDS;
      return [];
    }
    const isMeant = purpose === CallPurpose.Renew && state.session === session;
    return isMeant ? [this.#lose(link, "the sidecar ended the session")] : [];
  }

  #takeWatch(
    link: WorkerLinkState,
    { session }: PendingCall,
    load: WorkerLoad | undefined,
  ): void {
    const { state } = link;
    if (state.phase !== LinkPhase.Open || state.session !== session) return;
    state.watch = undefined;
    this.takeLoad(link, load);
  }

  /** Another run of the sidecar answered. It opens a session only when nothing of earlier runs is left. */
  #takeOtherRun(
    link: WorkerLinkState,
    current: ProcessIdentifier,
  ): readonly LinkChange[] {
    if (link.process === current) return [];
    link.process = current;
    const changes = link.state.phase === LinkPhase.Open
      ? [this.#lose(link, "the sidecar was restarted")]
      : [];
    link.givenUp = 0;
    link.state = openingLink();
    return changes;
  }

  #lose(link: WorkerLinkState, reason: string): LinkChange {
    if (link.state.phase === LinkPhase.Open) link.givenUp = link.state.session;
    this.#cut.delete(link.address);
    this.#options.collector.record(
      EventNumber.SessionLost,
      "a session with a sidecar is given up",
      {
        severity: Severity.Warning,
        context: { sidecar: link.process, session: link.givenUp, reason },
      },
    );
    link.state = openingLink();
    return { kind: LinkChangeKind.Lost, link };
  }

  #send(
    link: WorkerLinkState,
    purpose: CallPurpose,
    session: SessionNumber,
    message: DispatchRequest,
  ): RequestIdentifier {
    const { collector } = this.#options;
    const request = collector.nextRequest();
    this.#calls.set(request, { purpose, address: link.address, session });
    collector.add({
      kind: OutputKind.SendRequest,
      request,
      peer: link.process,
      address: link.address,
      message,
    });
    return request;
  }
}
