/**
 * Outages that crash several workers of a load at nearly the same time, for causes that no task has to do with.
 * A crashed worker is back some time later, at the same address and as a new incarnation.
 */
import type { Milliseconds } from "@eelgrassfront/model";
import type { DispatchSystem } from "./dispatch_system.ts";
import type { DispatchVm } from "./dispatch_vm.ts";
import { CrashKind, type FakeWorker, type WorkerCrash } from "./fake_worker.ts";
import { SeededRandom } from "./seeded_random.ts";

/** Outages of workers, one in each interval of a load. */
export interface WorkerOutages {
  /** Number of workers that crash in one outage. */
  readonly workers: number;
  readonly intervalMilliseconds: Milliseconds;
  /** An outage begins at a random time in this first part of its interval. */
  readonly jitterMilliseconds: Milliseconds;
  /** The workers of one outage crash at random times in this period. */
  readonly spreadMilliseconds: Milliseconds;
  /** Probability that the crash of a worker breaks no connection, and that its calls get no answer. */
  readonly silentCrashes: number;
  /** Called when an outage crashes a worker, before all runs there end. */
  readonly onCrash?: (worker: FakeWorker) => void;
}

/** Options of `startOutages`. */
export interface OutageOptions {
  readonly system: DispatchSystem;
  readonly outages: WorkerOutages;
  readonly seed: number;
  /** Time from now after which no outage begins. */
  readonly until: Milliseconds;
}

const SEED_OFFSET = 7_000_003;
const MINIMUM_RECOVERY_MILLISECONDS: Milliseconds = 1_200;
const MAXIMUM_RECOVERY_MILLISECONDS: Milliseconds = 3_000;
/** Longest time until a poll that waits notices that its worker has ended. */
const MAXIMUM_BREAK_MILLISECONDS: Milliseconds = 50;

/** Schedules the outages; the first one begins in the first interval from now. */
export function startOutages(options: OutageOptions): void {
  const { system, outages, seed, until } = options;
  const { intervalMilliseconds: interval, jitterMilliseconds } = outages;
  const random = new SeededRandom(seed + SEED_OFFSET);
  for (let from = 0; from < until; from += interval) {
    const at = from + random.between(0, jitterMilliseconds);
    if (at >= until) return;
    system.time.after(at, () => beginOutage(system, outages, random));
  }
}

function beginOutage(
  system: DispatchSystem,
  { workers, spreadMilliseconds, silentCrashes, onCrash }: WorkerOutages,
  random: SeededRandom,
): void {
  const running = system.sidecars.filter(({ worker }) => worker?.isAlive);
  for (let count = 0; count < workers && running.length > 0; count += 1) {
    const [vm] = running.splice(random.below(running.length), 1);
    const after = random.between(0, spreadMilliseconds);
    const crash = drawCrash(silentCrashes, random);
    const recovery = random.between(
      MINIMUM_RECOVERY_MILLISECONDS,
      MAXIMUM_RECOVERY_MILLISECONDS,
    );
    system.time.after(after, () => {
      const worker = vm?.worker;
      if (vm === undefined || worker?.isAlive !== true) return;
      onCrash?.(worker);
      worker.crash(crash);
      system.time.after(recovery, () => recover(system, vm, worker));
    });
  }
}

function recover(
  system: DispatchSystem,
  vm: DispatchVm,
  crashed: FakeWorker,
): void {
  if (vm.worker === crashed) system.startWorker(vm, false);
}

function drawCrash(silentCrashes: number, random: SeededRandom): WorkerCrash {
  const breakMilliseconds = random.between(0, MAXIMUM_BREAK_MILLISECONDS);
  return random.happens(silentCrashes)
    ? { kind: CrashKind.Silent }
    : { kind: CrashKind.Breaking, breakMilliseconds };
}
