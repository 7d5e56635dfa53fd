/**
 * Checks of the worker incarnations that reports name. A report alone does not show that its sender runs: it may
 * come from another writer, or have been held up on its way. The sidecar therefore asks the reported address for
 * its list of runs, and uses an incarnation only once it has answered. Until then nothing is known to have ended.
 */
import {
  assertNever,
  type DispatchOutput,
  EventNumber,
  type Milliseconds,
  type OutputCollector,
  type RequestIdentifier,
  type RunsListed,
  Severity,
  type WorkerAnswer,
  WorkerAnswerKind,
  WorkerCallKind,
  type WorkerDescription,
  WorkerRefusalReason,
} from "@eelgrassfront/model";
import type { WorkerLink } from "./worker_link.ts";

/** Pause before an incarnation that did not answer is asked again. */
const RETRY_MILLISECONDS: Milliseconds = 50;
/** Time after which a check without an answer ends; the worker's next report begins another one. */
const CHECK_MILLISECONDS: Milliseconds = 2_000;
/** Incarnations that are checked at the same time, so that a flood of odd reports stays cheap. */
const MAXIMUM_CHECKS = 4;

/** Why a reported incarnation is not used. */
enum RejectionReason {
  /** Another incarnation answers at the address. */
  OtherIncarnation = "other-incarnation",
  /** Nothing listens at the address. */
  ConnectionRefused = "connection-refused",
  NoAnswer = "no-answer",
}

/** Collaborators of `IncarnationChecks`. */
export interface IncarnationChecksOptions {
  readonly collector: OutputCollector<DispatchOutput>;
  readonly link: WorkerLink;
}

/** An incarnation that has answered, with its list of runs. */
export interface ConfirmedIncarnation {
  readonly description: WorkerDescription;
  readonly list: RunsListed;
  /** When the list was requested. */
  readonly requestedAt: Milliseconds;
}

interface Check {
  description: WorkerDescription;
  readonly since: Milliseconds;
  askedAt: Milliseconds;
  /** The call that is not answered yet; undefined while the next one is due later. */
  call: RequestIdentifier | undefined;
  fencingToken: number;
}

/** Asks reported incarnations of the worker whether they run. */
export class IncarnationChecks {
  readonly #options: IncarnationChecksOptions;
  readonly #checks = new Map<string, Check>();

  constructor(options: IncarnationChecksOptions) {
    this.#options = options;
  }

  /** Whether a reported incarnation has not answered yet. */
  get isPending(): boolean {
    return this.#checks.size > 0;
  }

  /** Checks the incarnation of a report; a later report of the same incarnation continues the check. */
  begin(description: WorkerDescription): void {
    const key = keyOf(description);
    const known = this.#checks.get(key);
    if (known !== undefined) {
      const isNewer = description.sequence >= known.description.sequence;
      if (isNewer) known.description = description;
      return;
    }
    if (this.#checks.size >= MAXIMUM_CHECKS) return;
    const check: Check = {
      description,
      since: this.#options.collector.now,
      askedAt: this.#options.collector.now,
      call: undefined,
      fencingToken: 0,
    };
    this.#checks.set(key, check);
    this.#ask(check);
  }

  /** Handles the answer to a check. Returns the incarnation that has answered, if any. */
  handleAnswer(
    call: RequestIdentifier,
    answer: WorkerAnswer,
  ): ConfirmedIncarnation | undefined {
    if (this.#checks.size === 0) return undefined;
    const check = [...this.#checks.values()].find((item) => item.call === call);
    if (check === undefined) return undefined;
    check.call = undefined;
    switch (answer.kind) {
      case WorkerAnswerKind.Listed:
        return this.#handleList(check, answer);
      case WorkerAnswerKind.ConnectionRefused:
        this.#reject(check, RejectionReason.ConnectionRefused);
        return undefined;
      case WorkerAnswerKind.Refused:
        this.#handleRefusal(check, answer.reason);
        return undefined;
      case WorkerAnswerKind.Accepted:
      case WorkerAnswerKind.Unanswered:
      case WorkerAnswerKind.NotSent:
        return undefined;
      default:
        return assertNever(answer);
    }
  }

  /** Repeats the checks that are due, and ends those that had no answer for too long. */
  tick(): void {
    if (this.#checks.size === 0) return;
    const { now } = this.#options.collector;
    for (const check of this.#checks.values()) {
      if (now >= check.since + CHECK_MILLISECONDS) {
        this.#reject(check, RejectionReason.NoAnswer);
      } else if (isDue(check, now)) this.#ask(check);
    }
  }

  /** When the next check is due. */
  nextAlarm(): Milliseconds | undefined {
    if (this.#checks.size === 0) return undefined;
    const times = [...this.#checks.values()].map(({ call, askedAt, since }) =>
      call === undefined
        ? askedAt + RETRY_MILLISECONDS
        : since + CHECK_MILLISECONDS
    );
    return Math.min(...times);
  }

  #ask(check: Check): void {
    const { collector, link } = this.#options;
    // The earlier incarnation's calls that are still on their way may reach one with the same identifier.
    link.raiseFencingToken();
    check.askedAt = collector.now;
    check.fencingToken = link.fencingToken;
    check.call = link.callIncarnation(check.description, {
      kind: WorkerCallKind.PollRuns,
      notedEnds: 0,
      waitMilliseconds: 0,
    });
  }

  #handleList(
    check: Check,
    list: RunsListed,
  ): ConfirmedIncarnation | undefined {
    const { description, askedAt } = check;
    if (list.bornAt !== description.incarnation.bornAt) {
      this.#reject(check, RejectionReason.OtherIncarnation);
      return undefined;
    }
    this.#checks.delete(keyOf(description));
    return { description, list, requestedAt: askedAt };
  }

  #handleRefusal(check: Check, reason: WorkerRefusalReason): void {
    switch (reason) {
      case WorkerRefusalReason.IncarnationMismatch:
        this.#reject(check, RejectionReason.OtherIncarnation);
        return;
      case WorkerRefusalReason.Fenced:
        this.#options.link.raiseFence(check.fencingToken);
        return;
      case WorkerRefusalReason.Superseded:
      case WorkerRefusalReason.DeadlinePassed:
      case WorkerRefusalReason.InsufficientCapacity:
      case WorkerRefusalReason.Unhealthy:
      case WorkerRefusalReason.Invalid:
        return;
      default:
        assertNever(reason);
    }
  }

  #reject(check: Check, reason: RejectionReason): void {
    const { collector, link } = this.#options;
    const { description, since } = check;
    this.#checks.delete(keyOf(description));
    collector.record(
      EventNumber.WorkerUnconfirmed,
      "a reported worker incarnation was not confirmed and is not used",
      {
        severity: Severity.Warning,
        context: {
          worker: description.incarnation.id,
          bornAt: description.incarnation.bornAt,
          service: description.service,
          address: description.address,
          knownWorker: link.description?.incarnation.id ?? "none",
          reason,
          elapsedMilliseconds: Math.round(collector.now - since),
        },
      },
    );
  }
}

function keyOf({ incarnation: { id, bornAt } }: WorkerDescription): string {
  return `${id} ${bornAt}`;
}

function isDue({ call, askedAt }: Check, now: Milliseconds): boolean {
  return call === undefined && now >= askedAt + RETRY_MILLISECONDS;
}
