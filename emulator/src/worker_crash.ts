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
  /**
   * Time after which the sidecar notices the end of its connections. A call that it sends before goes to a
   * connection that was open at the crash, and breaks with it although the worker never gets it.
   */
  readonly breakMilliseconds: Milliseconds;
}

/** A crash that breaks no connection. */
export interface SilentCrash {
  readonly kind: CrashKind.Silent;
}

/** A crash of a worker. */
export type WorkerCrash = BreakingCrash | SilentCrash;

/** A crash whose broken connections the sidecar notices at once. */
export const CLEAN_CRASH: WorkerCrash = {
  kind: CrashKind.Breaking,
  breakMilliseconds: 0,
};

/** A call to a crashed worker. */
export interface CrashedCall {
  readonly crash: WorkerCrash;
  readonly crashedAt: Milliseconds;
  readonly time: VirtualTime;
  readonly output: CallWorker;
  readonly answer: (answer: WorkerAnswer) => void;
}

/** Answers a call that the worker has executed before it crashed; its timeout has so much time left. */
export function breakCall(
  call: CrashedCall & { readonly left: Milliseconds },
): void {
  const { crash, time, output, answer, left } = call;
  switch (crash.kind) {
    case CrashKind.Breaking:
      loseConnection(call, crash.breakMilliseconds, left);
      return;
    case CrashKind.Silent:
      time.after(left, () => answer(unanswered(output)));
      return;
    default:
      assertNever(crash);
  }
}

/** Answers a call that reaches the address of the crashed worker, which never gets it. */
export function answerAfterCrash(call: CrashedCall): void {
  const { crash, crashedAt, time, output, answer } = call;
  const { timeoutMilliseconds } = output;
  switch (crash.kind) {
    case CrashKind.Breaking: {
      const untilBreak = crashedAt + crash.breakMilliseconds - time.now;
      if (untilBreak > 0) {
        loseConnection(call, untilBreak, timeoutMilliseconds);
        return;
      }
      time.after(ANSWER_MILLISECONDS, () => answer(connectionRefused(output)));
      return;
    }
    case CrashKind.Silent:
      time.after(timeoutMilliseconds, () => answer(unanswered(output)));
      return;
    default:
      assertNever(crash);
  }
}

/** Breaks the connection of a call after a time, unless the call's timeout ends before. */
function loseConnection(
  { time, output, answer }: CrashedCall,
  after: Milliseconds,
  left: Milliseconds,
): void {
  if (after < left) time.after(after, () => answer(connectionLost(output)));
  else time.after(left, () => answer(unanswered(output)));
}
