/**
 * Sessions of an entry with the sidecars that it uses. A sidecar that does not reply to renewals counts as lost: the entry
 * gives up the session and stops renewing it, so the sidecar ends the session's tasks. These tasks may be
 * placed again once they have certainly ended, or once the sidecar confirms their end by granting a new
 * session.
 */
import type { FleetDirectory } from "@eelgrassfront/directory";
import type { KindSpeeds } from "./kind_speeds.ts";
import {
  assertNever,
  type DispatchOutput,
  type DispatchReply,
  DispatchReplyKind,
  DispatchRequestKind,
  EventNumber,
  type FleetMember,
  type IncomingReply,
  MAXIMUM_SESSION_MILLISECONDS,
  type Milliseconds,
  type OutputCollector,
  PeerReplyKind,
  type ProcessIdentifier,
  type RequestIdentifier,
  type SessionGranted,
  type SessionRenewed,
  Severity,
  type WaitingDemand,
  type WorkerLoad,
} from "@eelgrassfront/model";
import { CallPurpose, LinkCalls, type PendingCall } from "./link_calls.ts";
import {
  INITIAL_OPEN_INTERVAL_MILLISECONDS,
  type LinkChange,
  LinkChangeKind,
  LinkPhase,
  newOpenLink,
  type OpeningLink,
  type OpenLink,
  renewalOf,
  updateClock,
  type WorkerLinkState,
} from "./worker_link_state.ts";
import {
  LinkAlarms,
  nextRenewal,
  REPLY_TIMEOUT_MILLISECONDS,
} from "./link_alarms.ts";
import { LoadWatchRequests } from "./load_watch_requests.ts";
import { WorkerLinkSet } from "./worker_link_set.ts";

/** Gap between two steps after which replies may be waiting to be read: timers run before reads. */
const STALL_MILLISECONDS: Milliseconds = 100;
/** Time in which the replies that arrived during a stall of this process are read. */
const READ_MILLISECONDS: Milliseconds = 50;
/** Longest interval between attempts to open a session; the interval doubles up to this bound. */
const MAXIMUM_OPEN_INTERVAL_MILLISECONDS: Milliseconds = 500;

/** The directory that lists the sidecars, the attempts there, and the demand for load reports. */
export interface WorkerLinksOptions {
  readonly self: FleetMember;
  readonly collector: OutputCollector<DispatchOutput>;
  readonly directory: FleetDirectory;
  /** The task that waits first for free capacity, so that load changes must be known soon. */
  readonly waitingDemand: () => WaitingDemand | undefined;
  /** Whether the sidecar at an address holds attempts of this entry. */
  readonly holdsAttempts: (address: string) => boolean;
}

/** Opens, renews and gives up the sessions with the sidecars in use. */
export class WorkerLinks {
  readonly #options: WorkerLinksOptions;
  readonly #links: WorkerLinkSet;
  readonly #calls: LinkCalls;
  readonly #watches: LoadWatchRequests;
  readonly #alarms = new LinkAlarms();
  /** Addresses of links whose connection was lost since their last answered renewal. */
  readonly #interrupted = new Set<string>();
  #tickedAt: Milliseconds | undefined;
  #loadRevision = 0;

  constructor(options: WorkerLinksOptions) {
    this.#options = options;
    this.#links = new WorkerLinkSet(options);
    this.#calls = new LinkCalls(options.collector);
    this.#watches = new LoadWatchRequests(this.#calls);
  }

  /** Returns the links in use. */
  all(): readonly WorkerLinkState[] {
    return this.#links.all();
  }

  /** Returns the link to an address. */
  find(address: string): WorkerLinkState | undefined {
    return this.#links.find(address);
  }

  /** Returns the link to a process. */
  findProcess(process: ProcessIdentifier): WorkerLinkState | undefined {
    return this.all().find((link) => link.process === process);
  }

  /** Whether there are sidecars that were not asked for a session yet, so that their workers are unknown. */
  get hasUnknownWorkers(): boolean {
    return this.#links.isPartial ||
      this.all().some(({ state }) =>
        state.phase === LinkPhase.Opening &&
        state.retryInterval === INITIAL_OPEN_INTERVAL_MILLISECONDS
      );
  }

  /** Rises whenever a load may have changed, so that a task may be placed where none could be before. */
  get loadRevision(): number {
    return this.#loadRevision;
  }

  /** How fast the kinds of worker are. */
  get speeds(): KindSpeeds {
    return this.#links.speeds;
  }

  /** Median of the workers' run times as multiples of the expected ones. */
  get medianSlowness(): number {
    return this.#links.medianSlowness;
  }

  /** Opens sessions with every sidecar for some time, because no selected one can run a job. */
  useAll(): void {
    this.#links.useAll();
  }

  /** Returns whether this object sent a request and the request has no reply yet. */
  owns(request: RequestIdentifier): boolean {
    return this.#calls.owns(request);
  }

  /** Sends due requests. Returns the links whose session was lost. */
  tick(): readonly LinkChange[] {
    this.#links.update();
    const { now } = this.#options.collector;
    if (now - (this.#tickedAt ?? now) > STALL_MILLISECONDS) {
      this.#alarms.deferLosses(now + READ_MILLISECONDS);
    }
    this.#tickedAt = now;
    const changes: LinkChange[] = [];
    const demand = this.#options.waitingDemand();
    const isWatchDue = this.#watches.isDue(demand, this.#links.takersRevision);
    if (!isWatchDue && now < this.#earliestAlarm()) return changes;
    this.#alarms.recordChange();
    for (const link of this.all()) {
      const { state } = link;
      const isLost = state.phase === LinkPhase.Open &&
        now >= this.#alarms.lostAt(state);
      if (isLost) {
        changes.push(this.#giveUp(link, state, "no answer to renewals"));
      }
      this.#sendDue(link, demand);
    }
    this.#watches.recordWatched(demand, this.#links.takersRevision);
    return changes;
  }

  /** Returns the time of the next due request or timeout. */
  nextAlarm(): Milliseconds | undefined {
    return this.all().length === 0 ? undefined : this.#earliestAlarm();
  }

  #earliestAlarm(): Milliseconds {
    return this.#alarms.earliest(this.all(), this.#links.revision);
  }

  /** Handles the reply to a request that this object sent. */
  handleReply(input: IncomingReply<DispatchReply>): readonly LinkChange[] {
    const call = this.#calls.take(input.request);
    const link = this.#links.find(call?.address ?? "");
    if (call === undefined || link === undefined) return [];
    const { message } = input;
    switch (message.kind) {
      case DispatchReplyKind.SessionGranted:
        return this.#handleGranted(link, message);
      case DispatchReplyKind.SessionRenewed:
        return this.#handleRenewed(link, message);
      case DispatchReplyKind.SessionPending:
        return this.#handlePending(link, call);
      case DispatchReplyKind.LoadReported:
        this.#handleLoadReport(link, call, input.request, message.load);
        return [];
      case DispatchReplyKind.TaskSettled:
      case DispatchReplyKind.CancellationAcknowledged:
      case DispatchReplyKind.FleetStateExchanged:
      case DispatchReplyKind.Misdirected:
      case DispatchReplyKind.CrashNoted:
      case DispatchReplyKind.JobClaimed:
      case DispatchReplyKind.JobHeld:
      case DispatchReplyKind.JobYielded:
      case DispatchReplyKind.JobLocated:
      case DispatchReplyKind.JobCancelled:
      case DispatchReplyKind.JobUnknown:
        return [];
      case PeerReplyKind.IncarnationMismatch:
        return this.#handleIncarnationMismatch(link, message.current);
      default:
        return assertNever(message);
    }
  }

  /** Handles the loss of a request that this object sent. */
  handleLostRequest(request: RequestIdentifier): void {
    const call = this.#calls.take(request);
    const link = this.#links.find(call?.address ?? "");
    if (call === undefined || link === undefined) return;
    this.handleConnectionLoss(link);
    const { state } = link;
    if (state.phase === LinkPhase.Opening && state.pendingRequest === request) {
      this.#scheduleOpen(state);
    }
  }

  /** Handles a connection loss: the session is renewed at once over a new connection. */
  handleConnectionLoss(link: WorkerLinkState): void {
    if (link.state.phase !== LinkPhase.Open) return;
    this.#watches.end(link.state);
    // A renewal with evacuated zones may be among what was lost.
    link.state.carriedEvacuations = undefined;
    if (this.#interrupted.has(link.address)) return;
    this.#interrupted.add(link.address);
    this.#renewNow(link.state);
  }

  /** Updates the load of a link from a reply, unless a newer load is known. */
  updateLoad(link: WorkerLinkState, load: WorkerLoad | undefined): void {
    const { state } = link;
    if (state.phase !== LinkPhase.Open) return;
    this.#recordReply(state);
    if (load === undefined || load.worker !== state.profile?.worker) {
      // A load of another worker: the reply to the next renewal carries that worker's profile.
      const worker = load?.worker;
      const isNewWorker = worker !== undefined &&
        worker !== state.unprofiledWorker;
      state.unprofiledWorker = worker;
      if (isNewWorker) this.#renewNow(state);
      this.#links.setLoad(state, undefined);
      return;
    }
    const known = state.load;
    const isOlder = known !== undefined && (load.revision < known.revision ||
      load.requestsTaken < known.requestsTaken);
    if (!isOlder) this.#links.setLoad(state, load);
  }

  /** Forgets the profile of a worker that a sidecar has found unsuitable by it, and requests the present one. */
  refreshProfile({ state }: WorkerLinkState): void {
    if (state.phase !== LinkPhase.Open) return;
    state.profile = undefined;
    this.#renewNow(state);
  }

  /** Handles a reply in which another incarnation of the sidecar identified itself. */
  handleIncarnationMismatch(
    address: string,
    current: ProcessIdentifier,
  ): readonly LinkChange[] {
    const link = this.#links.find(address);
    return link === undefined
      ? []
      : this.#handleIncarnationMismatch(link, current);
  }

  /** Gives up every session after a pause of this process. */
  giveUpAll(reason: string): readonly LinkChange[] {
    return this.all().flatMap((link) =>
      link.state.phase === LinkPhase.Open
        ? [this.#giveUp(link, link.state, reason)]
        : []
    );
  }

  #recordReply(state: OpenLink): void {
    this.#loadRevision += 1;
    this.#alarms.recordReply(state, this.#options.collector.now);
  }

  #renewNow(state: OpenLink): void {
    state.nextRenewAt = this.#options.collector.now;
    this.#alarms.recordChange();
  }

  #sendDue(link: WorkerLinkState, demand: WaitingDemand | undefined): void {
    const { state } = link;
    switch (state.phase) {
      case LinkPhase.Unused:
        return;
      case LinkPhase.Opening:
        this.#openSession(link, state);
        return;
      case LinkPhase.Open:
        if (this.#options.collector.now >= state.nextRenewAt) {
          this.#renew(link, state);
        }
        if (demand !== undefined) this.#watches.send(link, state, demand);
        return;
      default:
        assertNever(state);
    }
  }

  #openSession(link: WorkerLinkState, state: OpeningLink): void {
    const { now } = this.#options.collector;
    if (state.pendingRequest !== undefined) {
      if (now < state.pendingSince + REPLY_TIMEOUT_MILLISECONDS) return;
      this.#calls.take(state.pendingRequest);
      this.#scheduleOpen(state);
    }
    if (now < state.nextOpenAt) return;
    state.pendingSince = now;
    state.pendingRequest = this.#calls.send(link, CallPurpose.Open, 0, {
      kind: DispatchRequestKind.OpenSession,
      givenUp: link.givenUp,
    });
  }

  #scheduleOpen(state: OpeningLink): void {
    this.#alarms.recordChange();
    state.pendingRequest = undefined;
    state.nextOpenAt = this.#options.collector.now + state.retryInterval;
    state.retryInterval = Math.min(
      2 * state.retryInterval,
      MAXIMUM_OPEN_INTERVAL_MILLISECONDS,
    );
  }

  #renew(link: WorkerLinkState, state: OpenLink): void {
    const { now } = this.#options.collector;
    state.nextRenewAt = nextRenewal(now);
    state.unansweredSince ??= now;
    const { evacuations } = this.#options.directory;
    const renewal = renewalOf(state, evacuations);
    this.#calls.send(link, CallPurpose.Renew, state.session, renewal);
  }

  #handleGranted(
    link: WorkerLinkState,
    granted: SessionGranted,
  ): readonly LinkChange[] {
    const { session, profile, load, clock } = granted;
    const { state } = link;
    const { now } = this.#options.collector;
    if (state.phase === LinkPhase.Open) {
      if (state.session !== session) return [];
      updateClock(state, clock);
      state.profile = profile;
      this.updateLoad(link, load);
      return this.#resume(link);
    }
    if (state.phase === LinkPhase.Unused) return [];
    if (session <= link.givenUp) {
      this.#scheduleOpen(state);
      return [];
    }
    link.requestsSent = 0;
    this.#loadRevision += 1;
    this.#interrupted.delete(link.address);
    this.#links.open(link, newOpenLink(granted, now, nextRenewal(now)));
    this.#options.collector.record(
      EventNumber.SessionOpened,
      "a session with a sidecar was opened",
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

  #handleRenewed(
    link: WorkerLinkState,
    { session, load, clock }: SessionRenewed,
  ): readonly LinkChange[] {
    const { state } = link;
    if (state.phase !== LinkPhase.Open || state.session !== session) return [];
    updateClock(state, clock);
    this.#recordReply(state);
    if (load !== undefined) this.updateLoad(link, load);
    return this.#resume(link);
  }

  /** Continues a session whose connection was lost. */
  #resume(link: WorkerLinkState): readonly LinkChange[] {
    return this.#interrupted.delete(link.address)
      ? [{ kind: LinkChangeKind.Resumed, link }]
      : [];
  }

  #handlePending(
    link: WorkerLinkState,
    { purpose, session }: PendingCall,
  ): readonly LinkChange[] {
    const { state } = link;
    if (state.phase === LinkPhase.Unused) return [];
    if (state.phase === LinkPhase.Opening) {
      // The sidecar replies, so the request is repeated at the initial interval, without backoff.
      state.retryInterval = INITIAL_OPEN_INTERVAL_MILLISECONDS;
      this.#scheduleOpen(state);
      state.retryInterval = INITIAL_OPEN_INTERVAL_MILLISECONDS;
      return [];
    }
    const isCurrent = purpose === CallPurpose.Renew &&
      state.session === session;
    return isCurrent
      ? [this.#giveUp(link, state, "the sidecar ended the session")]
      : [];
  }

  #handleLoadReport(
    link: WorkerLinkState,
    { session }: PendingCall,
    request: RequestIdentifier,
    load: WorkerLoad | undefined,
  ): void {
    const { state } = link;
    if (state.phase !== LinkPhase.Open || state.session !== session) return;
    if (state.watch?.request === request) this.#watches.end(state);
    this.updateLoad(link, load);
  }

  /** Restarts a link: the new incarnation grants a session only when all tasks of earlier ones have ended. */
  #handleIncarnationMismatch(
    link: WorkerLinkState,
    current: ProcessIdentifier,
  ): readonly LinkChange[] {
    if (link.process === current) return [];
    link.process = current;
    const changes = link.state.phase === LinkPhase.Open
      ? [this.#giveUp(link, link.state, "the sidecar was restarted")]
      : [];
    this.#links.close(link);
    link.givenUp = 0;
    return changes;
  }

  #giveUp(
    link: WorkerLinkState,
    { lastReplyAt }: OpenLink,
    reason: string,
  ): LinkChange {
    const { now } = this.#options.collector;
    this.#links.close(link);
    this.#interrupted.delete(link.address);
    this.#options.collector.record(
      EventNumber.SessionLost,
      "a session with a sidecar was given up",
      {
        severity: Severity.Warning,
        context: {
          sidecar: link.process,
          session: link.givenUp,
          reason,
          sinceReplyMilliseconds: Math.round(now - lastReplyAt),
        },
      },
    );
    const latestEnd = lastReplyAt + MAXIMUM_SESSION_MILLISECONDS;
    const sessionEndsAt = Math.max(now, latestEnd);
    return { kind: LinkChangeKind.Lost, link, sessionEndsAt };
  }
}
