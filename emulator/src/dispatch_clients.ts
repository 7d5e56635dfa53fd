/**
 * Clients of a randomised run of best-effort work: they submit jobs, leave, lose their connections and submit
 * again. Requests and the ends of connections may reach an entry late, each by a time of its own.
 */
import {
  type ClientAnswer,
  ClientAnswerKind,
  type Milliseconds,
  type RequestIdentifier,
} from "@eelgrassfront/model";
import { type DispatchChecker, DispatchRule } from "./dispatch_checker.ts";
import { Disruption, disruptionRandom } from "./dispatch_disruptions.ts";
import type { DispatchSystem } from "./dispatch_system.ts";
import type { DispatchProcess, DispatchVm } from "./dispatch_vm.ts";
import { bodyOf, type PlannedJob, targetOf } from "./planned_job.ts";
import type { SeededRandom } from "./seeded_random.ts";
import { ProcessState } from "./virtual_process.ts";

/** Collaborators of `DispatchClients`. */
export interface DispatchClientsOptions {
  readonly system: DispatchSystem;
  readonly checker: DispatchChecker;
  /** Selects the entry of each request. */
  readonly random: SeededRandom;
  readonly seed: number;
  readonly disruptions: readonly Disruption[];
}

/** One request of a client and the connection on which it was sent. */
interface ClientRequest {
  readonly job: PlannedJob;
  readonly entry: DispatchVm;
  readonly process: DispatchProcess;
  /** How long a client waits for the answer. */
  readonly deadline: Milliseconds;
  /** Time from the arrival of the request at its entry to that of the end of its connection, at least. */
  readonly endGap: Milliseconds;
  isLate: boolean;
  /** Whether the client has its answer, or waits for none any more. */
  isAnswered: boolean;
  /** Whether the end of the connection has reached the entry. */
  isEnded: boolean;
  arrivedAt: Milliseconds | undefined;
  identifier: RequestIdentifier | undefined;
}

/** Time after which a client sends a job again. */
export const RESEND_MILLISECONDS: Milliseconds = 1_300;
/** How long a client waits for an answer. */
export const CLIENT_WAIT_MILLISECONDS: Milliseconds = 4_000;
const POLL_MILLISECONDS: Milliseconds = 20;
/** Slack of an answer that the entry gives at the deadline. */
const ANSWER_SLACK_MILLISECONDS: Milliseconds = 100;
const LATE_REQUEST_SHARE = 0.1;
const SHORT_DEADLINE_SHARE = 0.3;
/** Times between a late request and the end of its connection; that of a lost packet is the longest. */
const END_GAPS: readonly Milliseconds[] = [0, 1, 5, 40, 1_000];

/** Submits the jobs of a run and sends them again as clients do. */
export class DispatchClients {
  readonly #options: DispatchClientsOptions;
  readonly #resetRandom: SeededRandom;
  readonly #lateRandom: SeededRandom;
  readonly #deadlineRandom: SeededRandom;

  constructor(options: DispatchClientsOptions) {
    this.#options = options;
    const { seed } = options;
    this.#resetRandom = disruptionRandom(seed, Disruption.ClientResubmissions);
    this.#lateRandom = disruptionRandom(seed, Disruption.LateRequests);
    this.#deadlineRandom = disruptionRandom(seed, Disruption.ShortDeadlines);
  }

  /** Submits a job at an entry. */
  send(job: PlannedJob): void {
    const { random, system } = this.#options;
    const entry = random.pick(system.entries);
    if (entry === undefined) return;
    const lateBy = this.#drawLateness();
    const request: ClientRequest = {
      job,
      entry,
      process: entry.process,
      deadline: this.#drawDeadline(),
      endGap: lateBy === 0 ? 0 : this.#lateRandom.pick(END_GAPS) ?? 0,
      isLate: lateBy > 0,
      isAnswered: false,
      isEnded: false,
      arrivedAt: undefined,
      identifier: undefined,
    };
    const { heldUntil } = entry;
    const delay = Math.max(lateBy, heldUntil - system.time.now);
    if (delay <= 0) {
      if (!this.#deliver(request)) return;
    } else {
      request.isLate = true;
      system.time.after(delay, () => this.#deliver(request));
    }
    this.#scheduleDisconnect(request);
    this.#scheduleReset(request);
    this.#watchRequest(request);
  }

  #has(disruption: Disruption): boolean {
    return this.#options.disruptions.includes(disruption);
  }

  #drawLateness(): Milliseconds {
    const isLate = this.#has(Disruption.LateRequests) &&
      this.#lateRandom.happens(LATE_REQUEST_SHARE);
    return isLate ? this.#lateRandom.between(1_000, 8_000) : 0;
  }

  #drawDeadline(): Milliseconds {
    const isShort = this.#has(Disruption.ShortDeadlines) &&
      this.#deadlineRandom.happens(SHORT_DEADLINE_SHARE);
    return isShort
      ? this.#deadlineRandom.between(500, CLIENT_WAIT_MILLISECONDS)
      : CLIENT_WAIT_MILLISECONDS;
  }

  /** Lets a request arrive. Returns false when its entry has ended. */
  #deliver(request: ClientRequest): boolean {
    const { system } = this.#options;
    const { job, entry, process } = request;
    // The end of a connection that has arrived with its request is read before the job is passed on.
    if (request.isEnded) return true;
    if (entry.process !== process || process.state === ProcessState.Ended) {
      this.#resendUnanswered(request);
      return false;
    }
    if (request.isLate && process.state === ProcessState.Paused) {
      process.whenRunning(() => this.#deliver(request));
      return true;
    }
    request.arrivedAt = system.time.now;
    request.identifier = system.submit(
      entry,
      targetOf(job),
      bodyOf(job),
      request.deadline,
      (answer) => this.#handleAnswer(request, answer),
    );
    if (request.identifier === undefined) {
      this.#resendUnanswered(request);
      return false;
    }
    if (request.isLate && request.isAnswered) this.#end(request, 0);
    return true;
  }

  #handleAnswer(request: ClientRequest, answer: ClientAnswer): void {
    if (request.isAnswered) return;
    request.isAnswered = true;
    const { job } = request;
    this.#options.checker.recordAnswer(job.id, answer);
    if (answer.kind === ClientAnswerKind.GivenUp) this.#resend(job);
  }

  #resendUnanswered(request: ClientRequest): void {
    if (request.isAnswered) return;
    request.isAnswered = true;
    this.#options.checker.recordLostAnswer(request.job.id);
    this.#resend(request.job);
  }

  #resend(job: PlannedJob): void {
    if (job.remainingTries <= 1) return;
    const next = { ...job, remainingTries: job.remainingTries - 1 };
    this.#options.system.time.after(
      RESEND_MILLISECONDS,
      () => this.send(next),
    );
  }

  /** Lets the end of a connection reach its entry after a time, and not before the request. */
  #end(request: ClientRequest, delay: Milliseconds): void {
    const { system } = this.#options;
    const { entry, process, endGap } = request;
    const { now } = system.time;
    const after = request.arrivedAt === undefined
      ? 0
      : request.arrivedAt + endGap - now;
    system.time.after(Math.max(delay, after, entry.heldUntil - now), () => {
      if (request.identifier === undefined) {
        request.isEnded ||= endGap === 0;
      } else if (entry.process === process) {
        system.disconnectClient(entry, request.identifier);
      }
    });
  }

  #scheduleDisconnect(request: ClientRequest): void {
    const { system, checker } = this.#options;
    const { disconnectsAfter, id } = request.job;
    if (disconnectsAfter === undefined) return;
    system.time.after(disconnectsAfter, () => {
      if (request.isAnswered) return;
      request.isAnswered = true;
      checker.recordDisconnect(id);
      this.#endNow(request);
    });
  }

  #endNow(request: ClientRequest): void {
    const { system } = this.#options;
    const { entry, identifier } = request;
    const isHeld = entry.heldUntil > system.time.now || request.isLate;
    if (isHeld || identifier === undefined) this.#end(request, 0);
    else system.disconnectClient(entry, identifier);
  }

  /** Breaks the client's connection to its entry, which learns of it at once, late or never. */
  #scheduleReset(request: ClientRequest): void {
    if (!this.#has(Disruption.ClientResubmissions)) return;
    const random = this.#resetRandom;
    if (!random.happens(0.3)) return;
    const at = random.between(1, 1_500);
    const delay = random.between(100, 3_000);
    const knownAfter = this.#has(Disruption.LateDisconnections) ? delay : 0;
    this.#options.system.time.after(at, () => {
      if (request.isAnswered) return;
      this.#end(request, knownAfter);
      this.#resendUnanswered(request);
    });
  }

  /** Polls for the end of the entry, and for the end of the client's waiting time. */
  #watchRequest(request: ClientRequest): void {
    const { time } = this.#options.system;
    const startedAt = time.now;
    const { deadline, job } = request;
    const isShort = deadline < CLIENT_WAIT_MILLISECONDS;
    const limit = deadline + (isShort ? 0 : ANSWER_SLACK_MILLISECONDS);
    let hasPaused = false;
    const poll = (): void => {
      if (request.isAnswered) return;
      // A paused process handles the request, and starts its deadline, only after it resumes.
      hasPaused ||= request.process.state === ProcessState.Paused;
      if (request.process.state === ProcessState.Ended) {
        this.#resendUnanswered(request);
        return;
      }
      if (time.now - startedAt < limit) {
        time.after(POLL_MILLISECONDS, poll);
        return;
      }
      const isExcused = hasPaused || request.isLate || isShort;
      const isResending = isExcused && job.remainingTries > 1 &&
        this.#has(Disruption.ClientResubmissions);
      if (isResending) {
        this.#endNow(request);
        this.#resendUnanswered(request);
        return;
      }
      if (!isExcused) {
        const waited = Math.round(time.now - startedAt);
        this.#options.checker.report(
          DispatchRule.EveryRequestAnswered,
          `${job.id} is unanswered after ${waited} ms`,
        );
      }
      this.#options.checker.recordDisconnect(job.id);
      this.#endNow(request);
    };
    poll();
  }
}
