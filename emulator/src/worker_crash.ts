/**
 * Crashes of fake workers: what happens to the calls that a crash interrupts, and to those that come later.
 */
import {
  assertNever,
  type CallWorker,
  type Milliseconds,
  type WorkerAnswer,
} from "@eelgrassfront/model";
import type { VirtualTime } from "./virtual_time.ts";
import {
  ANSWER_MILLISECONDS,
  connectionLost,
  connectionRefused,
  unanswered,
} from "./worker_answers.ts";

/** How a worker crashes. */
export enum CrashKind {
  /** Connections break, and new ones are refused. */
  Breaking = "breaking",
  /** No connection breaks, and no call is answered until another incarnation runs there. */
  Silent = "silent",
}

/** A crash that breaks connections. */
export interface BreakingCrash {
  readonly kind: CrashKind.Breaking;
  /** Time after which a poll that waits notices the end of its connection. */
  readonly breakMilliseconds: Milliseconds;
}

/** A crash that breaks no connection. */
export interface SilentCrash {
  readonly kind: CrashKind.Silent;
}

/** A crash of a worker. */
export type WorkerCrash = BreakingCrash | SilentCrash;

/** A crash that breaks all connections at once. */
export const CLEAN_CRASH: WorkerCrash = {
  kind: CrashKind.Breaking,
  breakMilliseconds: 0,
};

/** A call to a crashed worker. */
export interface CrashedCall {
  readonly crash: WorkerCrash;
  readonly time: VirtualTime;
  readonly output: CallWorker;
  readonly answer: (answer: WorkerAnswer) => void;
}

/** Answers a call that the worker has executed before it crashed; its timeout has so much time left. */
export function breakCall(
  { crash, time, output, answer, left }: CrashedCall & {
    readonly left: Milliseconds;
  },
): void {
  switch (crash.kind) {
    case CrashKind.Breaking:
      if (crash.breakMilliseconds < left) {
        time.after(
          crash.breakMilliseconds,
          () => answer(connectionLost(output)),
        );
        return;
      }
      time.after(left, () => answer(unanswered(output)));
      return;
    case CrashKind.Silent:
      time.after(left, () => answer(unanswered(output)));
      return;
    default:
      assertNever(crash);
  }
}

/** Answers a call that reaches the address of the crashed worker. */
export function answerAfterCrash(
  { crash, time, output, answer }: CrashedCall,
): void {
  switch (crash.kind) {
    case CrashKind.Breaking:
      time.after(ANSWER_MILLISECONDS, () => answer(connectionRefused(output)));
      return;
    case CrashKind.Silent: {
      const { timeoutMilliseconds } = output;
      time.after(timeoutMilliseconds, () => answer(unanswered(output)));
      return;
    }
    default:
      assertNever(crash);
  }
}
