/**
 * The worker beside a sidecar: its known incarnation, its clock, the fencing token of calls to it, and
 * whether it answers.
 *
 * Leases end at a time on the worker's clock, which is estimated from its latest answer. The clock may run
 * slow, so the estimate may be too late; the worker then shortens the lease to the longest that it grants.
 */
import {
  assertNever,
  type CallWorker,
  type DispatchOutput,
  DispatchOutputKind,
  isWithin,
  type Milliseconds,
  type OutputCollector,
  type RequestIdentifier,
  type WorkerCall,
  WorkerCallKind,
  type WorkerDescription,
  type WorkerIncarnation,
  WorkerPhase,
} from "@eelgrassfront/model";
import { ResponseTimes } from "./response_times.ts";
import { WorkerClock } from "./worker_clock.ts";

/** Consecutive unanswered calls after which a worker counts as unresponsive. */
const UNANSWERED_CALLS_UNTIL_UNRESPONSIVE = 4;
/** Time after an unanswered call in which further calls may go unanswered. */
const UNRELIABLE_MILLISECONDS: Milliseconds = 5_000;
/** Factor by which a worker's clock may run slower than the local one. */
const CLOCK_DRIFT = 1.02;
/** Longest transit time of a call on the same VM. */
const EXPIRY_MARGIN_MILLISECONDS: Milliseconds = 100;
/** Increment after a refused token; exceeds any backward step of the clock that first tokens come from. */
const FENCING_TOKEN_INCREMENT = 60_000;

/** Relation of a reported incarnation to the known one. */
export enum IncarnationRelation {
  Same = "same",
  /** It started before the known one, so the report was delayed. */
  Earlier = "earlier",
  /** It started later, or none is known. */
  Other = "other",
}

/** First fencing token and longest lease of calls to a worker. */
export interface WorkerLinkOptions {
  readonly collector: OutputCollector<DispatchOutput>;
  /** Fencing token of the first call; later incarnations of this sidecar start with a higher one. */
  readonly firstFencingToken: number;
  /** The longest lease that the worker grants. */
  readonly leaseMilliseconds: Milliseconds;
}

/** State of the worker as its sidecar knows it. */
export class WorkerLink {
  readonly #options: WorkerLinkOptions;
  #description: WorkerDescription | undefined;
  #coldUntil: Milliseconds = 0;
  #profileRevision = 0;
  #isConfirmed = true;
  #isDoubtful = false;
  #clock = new WorkerClock();
  #responseTimes = new ResponseTimes();
  #fencingToken: number;
  #unansweredCalls = 0;
  #unreliableUntil: Milliseconds = 0;
  /** Start time of the latest incarnation that is known to have ended. */
  #latestEndedBornAt: Milliseconds = 0;
  /** End of the lease in the latest call that renewed it, on the worker's clock. */
  #renewedUntil: Milliseconds = 0;
  /** When every lease that was renewed has certainly expired. */
  #leaseExpiresAt: Milliseconds = 0;
  #isLeaving = false;
  #previousLeaseExpiresAt: Milliseconds = Infinity;

  constructor(options: WorkerLinkOptions) {
    this.#options = options;
    this.#fencingToken = options.firstFencingToken;
  }

  /** Description of the current worker incarnation, if one is known. */
  get description(): WorkerDescription | undefined {
    return this.#description;
  }

  /** Rises whenever the worker's incarnation, service, labels or capacity have changed. */
  get profileRevision(): number {
    return this.#profileRevision;
  }

  /** Whether the worker itself confirmed the description, and no report of a later incarnation puts it in doubt. */
  get isConfirmed(): boolean {
    return this.#isConfirmed && !this.#isDoubtful;
  }

  /** Whether only a saved description is known. */
  get isOnlySaved(): boolean {
    return !this.#isConfirmed;
  }

  /** Records whether a report of a later incarnation is being checked. */
  set isDoubtful(isDoubtful: boolean) {
    this.#isDoubtful = isDoubtful;
  }

  /** Whether the worker is ready, confirmed and responsive. */
  get isTakingWork(): boolean {
    return this.#description?.phase === WorkerPhase.Ready &&
      this.isConfirmed && !this.isUnresponsive;
  }

  /** Whether the worker left several consecutive calls unanswered. */
  get isUnresponsive(): boolean {
    return this.#unansweredCalls >= UNANSWERED_CALLS_UNTIL_UNRESPONSIVE;
  }

  /** Whether the worker left the latest call unanswered. */
  get isSilent(): boolean {
    return this.#unansweredCalls > 0;
  }

  /** Whether the worker has announced that it ends now. */
  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  /** Whether the worker has been silent since it announced its end, so that only its lease shows that it ended. */
  get isSilentAfterGoodbye(): boolean {
    return this.#isLeaving && this.isSilent;
  }

  /** Whether the worker recently left a call unanswered. */
  get isUnreliable(): boolean {
    return this.#options.collector.now < this.#unreliableUntil;
  }

  /** Uses a saved description. Returns false when a worker is known or the saved incarnation has ended. */
  useSaved(description: WorkerDescription): boolean {
    const hasEnded = description.incarnation.bornAt <= this.#latestEndedBornAt;
    if (this.#description !== undefined || hasEnded) return false;
    this.useIncarnation(description);
    this.#isConfirmed = false;
    return true;
  }

  /** Marks the saved description as confirmed by the worker. */
  confirm(): void {
    this.#isConfirmed = true;
  }

  /** Relation of a reported incarnation to the known one. */
  relationOf({ id, bornAt }: WorkerIncarnation): IncarnationRelation {
    const known = this.#description?.incarnation;
    if (known === undefined) return IncarnationRelation.Other;
    if (known.id === id && known.bornAt === bornAt) {
      return IncarnationRelation.Same;
    }
    return bornAt < known.bornAt
      ? IncarnationRelation.Earlier
      : IncarnationRelation.Other;
  }

  /** Applies a report of the known incarnation, unless it is older than the latest one. */
  applyReport(description: WorkerDescription): void {
    const known = this.#description;
    if (known === undefined || description.sequence < known.sequence) return;
    if (!isSameProfile(known, description)) this.#profileRevision += 1;
    this.#description = description;
    this.#isConfirmed = true;
    this.#isLeaving = false;
    this.#recordCold(description);
    this.#recordClock(description.clock);
  }

  /** Whether the worker still runs tasks slowly after its start, as its latest report says. */
  get isCold(): boolean {
    return this.#options.collector.now < this.#coldUntil;
  }

  #recordCold({ coldMilliseconds }: WorkerDescription): void {
    this.#coldUntil = this.#options.collector.now + (coldMilliseconds ?? 0);
  }

  /** Records that the known incarnation has announced its end; it gets no new tasks unless it reports again. */
  recordGoodbye(): void {
    if (this.#description === undefined) return;
    this.#isLeaving = true;
    this.#description = {
      ...this.#description,
      phase: WorkerPhase.Draining,
    };
  }

  /** Uses another incarnation in place of the known one. */
  useIncarnation(description: WorkerDescription): void {
    this.#profileRevision += 1;
    this.#description = description;
    this.#isConfirmed = true;
    this.#isLeaving = false;
    this.#clock = new WorkerClock();
    this.#responseTimes = new ResponseTimes();
    this.#recordCold(description);
    this.#recordClock(description.clock);
    this.#unansweredCalls = 0;
    // Calls to the previous incarnation may still be in transit; the new one refuses their lower token.
    this.#fencingToken += 1;
  }

  /** Forgets the worker because its incarnation has ended. */
  forget(): void {
    const ended = this.#description?.incarnation.bornAt ?? 0;
    this.#latestEndedBornAt = Math.max(this.#latestEndedBornAt, ended);
    this.#description = undefined;
    this.#isLeaving = false;
    this.#clock = new WorkerClock();
    this.#unansweredCalls = 0;
  }

  /** Whether the identifier is that of the current worker incarnation. */
  isCurrent(worker: WorkerIncarnation["id"]): boolean {
    return this.#description?.incarnation.id === worker;
  }

  /** Records that the worker answered a call, and its clock if the answer contains it. */
  recordAnswer(clock: Milliseconds | undefined): void {
    this.#unansweredCalls = 0;
    this.#recordClock(clock);
  }

  #recordClock(clock: Milliseconds | undefined): void {
    if (clock === undefined) return;
    this.#clock.record(this.#options.collector.now, clock);
  }

  /**
   * Returns for how long the sidecar's VM was suspended before the latest readings of the worker's clock, at
   * most; a suspension does not show on the sidecar's own clock.
   */
  takeSuspension(): Milliseconds {
    return this.#clock.takeSuspension();
  }

  /** Records the time in which the worker answered a call that does not wait. */
  recordResponse(elapsed: Milliseconds): void {
    this.#responseTimes.recordResponse(elapsed);
  }

  /** Raises the fencing token, so that the worker refuses earlier calls once it has executed a later one. */
  raiseFencingToken(): void {
    this.#fencingToken += 1;
  }

  /** Records an unanswered call. */
  recordUnanswered(): void {
    this.#responseTimes.recordUnanswered();
    this.#unansweredCalls += 1;
    this.#unreliableUntil = this.#options.collector.now +
      UNRELIABLE_MILLISECONDS;
  }

  /** Fencing token of the next call. */
  get fencingToken(): number {
    return this.#fencingToken;
  }

  /** Raises the fencing token because the worker refused it as too old; a token that was raised since is kept. */
  raiseFence(refused: number): void {
    if (refused < this.#fencingToken) return;
    this.#fencingToken = refused + FENCING_TOKEN_INCREMENT;
  }

  /** When the lease of every run that an earlier incarnation of this sidecar started has certainly expired. */
  get previousLeaseExpiresAt(): Milliseconds {
    return this.#previousLeaseExpiresAt;
  }

  /** Records the start of this process. */
  recordProcessStart(): void {
    this.#previousLeaseExpiresAt = this.#latestExpiry();
  }

  /** End of the lease in the latest call that renewed it, on the worker's clock. */
  get renewedUntil(): Milliseconds {
    return this.#renewedUntil;
  }

  /** When the lease of every run has certainly expired, unless it is renewed again. */
  get leaseExpiresAt(): Milliseconds {
    return this.#leaseExpiresAt;
  }

  /** Renews the lease with the call that is sent next. Returns its new end, on the worker's clock. */
  renewLease(): Milliseconds {
    const { collector, leaseMilliseconds } = this.#options;
    this.#renewedUntil = Math.floor(
      this.#clock.at(collector.now) + leaseMilliseconds,
    );
    this.#leaseExpiresAt = this.#latestExpiry();
    return this.#renewedUntil;
  }

  #latestExpiry(): Milliseconds {
    const { collector, leaseMilliseconds } = this.#options;
    return collector.now + leaseMilliseconds * CLOCK_DRIFT +
      EXPIRY_MARGIN_MILLISECONDS;
  }

  /** Calls the worker. Returns the call's identifier; undefined when no worker is known. */
  call(request: WorkerCall): RequestIdentifier | undefined {
    return this.#description === undefined
      ? undefined
      : this.callIncarnation(this.#description, request);
  }

  /** Calls a reported incarnation, which may be another one than the known one. Returns the call's identifier. */
  callIncarnation(
    { incarnation, address }: WorkerDescription,
    request: WorkerCall,
  ): RequestIdentifier {
    const { collector } = this.#options;
    const output: CallWorker = {
      kind: DispatchOutputKind.CallWorker,
      call: collector.nextRequest(),
      worker: incarnation.id,
      bornAt: incarnation.bornAt,
      address,
      fencingToken: this.#fencingToken,
      request,
      timeoutMilliseconds: waitOf(request) + this.#responseTimes.timeout,
    };
    collector.add(output);
    return output.call;
  }
}

function isSameProfile(
  left: WorkerDescription,
  right: WorkerDescription,
): boolean {
  return left.service === right.service &&
    isWithin(left.capacity, right.capacity) &&
    isWithin(right.capacity, left.capacity) &&
    left.labels.length === right.labels.length &&
    left.labels.every((label, index) => label === right.labels[index]);
}

/** Returns how long the worker may hold back the answer to a call. */
function waitOf(call: WorkerCall): Milliseconds {
  switch (call.kind) {
    case WorkerCallKind.PollRuns:
      return call.waitMilliseconds;
    case WorkerCallKind.Start:
    case WorkerCallKind.Stop:
    case WorkerCallKind.CheckHealth:
      return 0;
    default:
      return assertNever(call);
  }
}
