/**
 * Disruptions of a randomised run of best-effort work that tests select: calls that workers execute late,
 * messages that are held up, long outages of sidecars, and clients whose connections break. Each kind draws
 * from a generator of its own, so that the selection of one does not change the runs of the others.
 */
import {
  assertNever,
  InputKind,
  type Milliseconds,
  type ProcessIdentifier,
} from "@eelgrassfront/model";
import type { DispatchSystem } from "./dispatch_system.ts";
import type { DispatchVm } from "./dispatch_vm.ts";
import type { FakeWorker, WorkerFaults } from "./fake_worker.ts";
import { SeededRandom } from "./seeded_random.ts";
import { ProcessState } from "./virtual_process.ts";

/** Kinds of disruptions. New kinds are added at the end, since the position selects the generator of a kind. */
export enum Disruption {
  /** Workers execute a share of the calls late, with a lease that counts from the execution. */
  DelayedGrants = "delayed-grants",
  /** Workers execute a share of the stops late. */
  DelayedStops = "delayed-stops",
  /** Messages between two processes are held for up to some seconds, and then delivered in order. */
  HeldMessages = "held-messages",
  /** Messages from one process to another take longer and longer, up to some seconds. */
  SlowLinks = "slow-links",
  /** Sidecars are killed, and start again after some seconds. */
  SidecarOutages = "sidecar-outages",
  /** Workers crash, and start again under the same identifier. */
  WorkerRestarts = "worker-restarts",
  /** Half of the tasks run for up to some seconds. */
  LongTasks = "long-tasks",
  /** Connections of clients break, and the clients submit their jobs again at another entry. */
  ClientResubmissions = "client-resubmissions",
  /** The same, and the entries learn late that a connection has broken. */
  LateDisconnections = "late-disconnections",
  /** Entries are paused for some seconds. */
  EntryPauses = "entry-pauses",
  /** Sidecars are paused for some seconds. */
  SidecarPauses = "sidecar-pauses",
  /** Entries are killed. */
  EntryKills = "entry-kills",
  /** Workers refuse connections for up to some seconds while they run on. */
  RefusedConnections = "refused-connections",
  /** A tenth of the requests reach their entry seconds late, with the end of their connection or before it. */
  LateRequests = "late-requests",
  /** Some clients wait for an answer for less than the usual time. */
  ShortDeadlines = "short-deadlines",
  /** What clients send to an entry, or to all, is held up for some seconds. */
  HeldClients = "held-clients",
  /** The event loop of an entry stalls again and again, each time for less than the time that counts as a pause. */
  EntryLags = "entry-lags",
  /** The same with a sidecar. */
  SidecarLags = "sidecar-lags",
  /** Entries are asked to stop, and start again when they have ended. */
  EntryDrains = "entry-drains",
  /** Links between two entries, or between one and all others, are cut for up to some seconds. */
  CutEntries = "cut-entries",
  /** Messages between entries are held for up to some seconds, and then delivered in order. */
  HeldEntries = "held-entries",
  /** Messages from one entry to another take longer and longer, up to some seconds. */
  SlowEntries = "slow-entries",
  /** All processes are killed at once. */
  FleetKills = "fleet-kills",
}

/** The system and the time in which disruptions may begin and must end. */
export interface DisruptionScheduleOptions {
  readonly system: DispatchSystem;
  readonly seed: number;
  readonly from: Milliseconds;
  readonly until: Milliseconds;
}

/** A link from one VM to another. */
type Link = readonly [ProcessIdentifier, ProcessIdentifier];

const KINDS = Object.values(Disruption);
const SEED_OFFSET = 7_000_003;
const MAXIMUM_REPEATS = 4;
const MAXIMUM_HOLD_MILLISECONDS: Milliseconds = 5_000;
const MAXIMUM_DELAY_STEPS = 6;
const DELAY_STEP_MILLISECONDS: Milliseconds = 500;
/** Longest stall of an event loop; the process does not notice it as a pause. */
const MAXIMUM_LAG_MILLISECONDS: Milliseconds = 480;
/** Time after which a drained entry has ended. */
const DRAIN_MILLISECONDS: Milliseconds = 6_500;
const MAXIMUM_PAUSE_MILLISECONDS: Milliseconds = 5_000;

/** Returns the generator of a kind of disruption. */
export function disruptionRandom(seed: number, kind: Disruption): SeededRandom {
  return new SeededRandom(seed + SEED_OFFSET * (1 + KINDS.indexOf(kind)));
}

/** Schedules the selected disruptions of a run. */
export class DisruptionSchedule {
  readonly #options: DisruptionScheduleOptions;

  constructor(options: DisruptionScheduleOptions) {
    this.#options = options;
  }

  /** Starts the processes that have ended, once no disruption is left that could delay the end of a drain. */
  restartEnded(): void {
    const { system } = this.#options;
    for (const vm of [...system.entries, ...system.sidecars]) {
      if (vm.process.state === ProcessState.Ended) system.restart(vm);
    }
  }

  /** Schedules a disruption one or several times. */
  add(kind: Disruption): void {
    const { system, seed, from, until } = this.#options;
    const random = disruptionRandom(seed, kind);
    const repeats = 1 + random.below(MAXIMUM_REPEATS);
    for (let index = 0; index < repeats; index += 1) {
      const at = random.between(from, until - MAXIMUM_HOLD_MILLISECONDS);
      system.time.after(at, () => this.#begin(kind, random));
    }
  }

  #begin(kind: Disruption, random: SeededRandom): void {
    const { system } = this.#options;
    switch (kind) {
      case Disruption.DelayedGrants:
        this.#setFaults(random, {
          delayedGrants: random.between(0.1, 0.7),
        });
        return;
      case Disruption.DelayedStops:
        this.#setFaults(random, { delayedStops: random.between(0.5, 0.9) });
        return;
      case Disruption.HeldMessages:
        this.#hold(random, this.#pickLinks(random));
        return;
      case Disruption.HeldEntries:
        this.#hold(random, this.#pickEntryLinks(random));
        return;
      case Disruption.SlowLinks:
        this.#slow(random, this.#pickLinks(random));
        return;
      case Disruption.SlowEntries:
        this.#slow(random, this.#pickEntryLinks(random));
        return;
      case Disruption.CutEntries:
        this.#cut(random, this.#pickEntryLinks(random));
        return;
      case Disruption.EntryDrains:
        this.#drain(random);
        return;
      case Disruption.FleetKills:
        for (const vm of [...system.entries, ...system.sidecars]) {
          this.#kill(random, [vm], [400, 1_200]);
        }
        return;
      case Disruption.SidecarOutages:
        this.#kill(random, system.sidecars, [3_000, 6_000]);
        return;
      case Disruption.EntryKills:
        this.#kill(random, system.entries, [200, 3_000]);
        return;
      case Disruption.WorkerRestarts:
        this.#restartWorker(random);
        return;
      case Disruption.EntryPauses:
        this.#pause(random, system.entries);
        return;
      case Disruption.SidecarPauses:
        this.#pause(random, system.sidecars);
        return;
      case Disruption.RefusedConnections:
        this.#refuseConnections(random);
        return;
      case Disruption.HeldClients:
        this.#holdClients(random);
        return;
      case Disruption.EntryLags:
        this.#lag(random, system.entries);
        return;
      case Disruption.SidecarLags:
        this.#lag(random, system.sidecars);
        return;
      case Disruption.LateRequests:
      case Disruption.ShortDeadlines:
      case Disruption.LongTasks:
      case Disruption.ClientResubmissions:
      case Disruption.LateDisconnections:
        return;
      default:
        assertNever(kind);
    }
  }

  #setFaults(random: SeededRandom, faults: Partial<WorkerFaults>): void {
    const { system } = this.#options;
    const workers = system.sidecars.filter(() => random.happens(0.5))
      .flatMap(({ worker }) => worker === undefined ? [] : [worker]);
    const change = (changed: Partial<WorkerFaults>) => {
      for (const worker of workers) setFaults(worker, changed);
    };
    change(faults);
    system.time.after(
      random.between(1_000, MAXIMUM_HOLD_MILLISECONDS),
      () => change({ delayedGrants: 0, delayedStops: 0 }),
    );
  }

  #hold(random: SeededRandom, links: readonly Link[]): void {
    const { network, time } = this.#options.system;
    const duration = random.between(100, MAXIMUM_HOLD_MILLISECONDS);
    for (const [from, to] of links) {
      network.holdLink(from, to);
      time.after(duration, () => network.releaseLink(from, to));
    }
  }

  #slow(random: SeededRandom, links: readonly Link[]): void {
    const { network, time } = this.#options.system;
    const step = random.between(50, 400);
    for (const [from, to] of links) {
      for (let count = 1; count <= MAXIMUM_DELAY_STEPS; count += 1) {
        const at = count * DELAY_STEP_MILLISECONDS;
        time.after(at, () => network.delayLink(from, to, count * step));
      }
      time.after(
        MAXIMUM_HOLD_MILLISECONDS,
        () => network.delayLink(from, to, 0),
      );
    }
  }

  #cut(random: SeededRandom, links: readonly Link[]): void {
    const { network, time } = this.#options.system;
    for (const [from, to] of links) network.cutLink(from, to);
    time.after(
      random.between(100, MAXIMUM_HOLD_MILLISECONDS),
      () => network.restoreAllLinks(),
    );
  }

  #drain(random: SeededRandom): void {
    const { system } = this.#options;
    const vm = random.pick(system.entries);
    if (vm === undefined) return;
    vm.process.receive({ kind: InputKind.DrainRequested });
    system.time.after(DRAIN_MILLISECONDS, () => {
      if (vm.process.state === ProcessState.Ended) system.restart(vm);
    });
  }

  /** Links in one or both directions between two entries, or between one and all others. */
  #pickEntryLinks(random: SeededRandom): readonly Link[] {
    const { entries } = this.#options.system;
    const isAll = random.happens(0.5);
    const direction = random.below(3);
    const chosen = random.pick(entries);
    const other = random.pick(entries.filter((entry) => entry !== chosen));
    const links: Link[] = [];
    for (const entry of entries) {
      if (chosen === undefined || entry === chosen) continue;
      if (!isAll && entry !== other) continue;
      const near: ProcessIdentifier = `${chosen.name}~`;
      const far: ProcessIdentifier = `${entry.name}~`;
      if (direction !== 0) links.push([near, far]);
      if (direction !== 1) links.push([far, near]);
    }
    return links;
  }

  /** Links in one or both directions between some entries and some sidecars. */
  #pickLinks(random: SeededRandom): readonly Link[] {
    const { entries, sidecars } = this.#options.system;
    const share = random.pick([0.3, 1]) ?? 1;
    const direction = random.below(3);
    const chosenEntry = random.pick(entries);
    const chosenSidecar = random.pick(sidecars);
    const links: Link[] = [];
    for (const entry of entries) {
      for (const sidecar of sidecars) {
        const isChosen = share === 1
          ? entry === chosenEntry || sidecar === chosenSidecar
          : entry === chosenEntry && sidecar === chosenSidecar;
        if (!isChosen) continue;
        const near: ProcessIdentifier = `${entry.name}~`;
        const far: ProcessIdentifier = `${sidecar.name}~`;
        if (direction !== 0) links.push([near, far]);
        if (direction !== 1) links.push([far, near]);
      }
    }
    return links;
  }

  #kill(
    random: SeededRandom,
    vms: readonly DispatchVm[],
    [shortest, longest]: readonly [Milliseconds, Milliseconds],
  ): void {
    const { system } = this.#options;
    const vm = random.pick(vms);
    const down = random.between(shortest, longest);
    if (vm === undefined || vm.process.state === ProcessState.Ended) return;
    system.kill(vm);
    system.time.after(down, () => {
      if (vm.process.state === ProcessState.Ended) system.restart(vm);
    });
  }

  #restartWorker(random: SeededRandom): void {
    const { system } = this.#options;
    const vm = random.pick(system.sidecars);
    const down = random.between(10, 2_000);
    const { faults } = vm?.worker ?? {};
    if (vm?.worker?.isAlive !== true) return;
    vm.worker.crash();
    system.time.after(down, () => {
      if (vm.worker?.isAlive === true) return;
      system.startWorker(vm, true);
      if (faults !== undefined && vm.worker !== undefined) {
        vm.worker.faults = faults;
      }
    });
  }

  #refuseConnections(random: SeededRandom): void {
    const { system } = this.#options;
    const worker = random.pick(system.sidecars)?.worker;
    const duration = random.between(50, 3_000);
    if (worker === undefined) return;
    worker.isRefusingConnections = true;
    system.time.after(duration, () => worker.isRefusingConnections = false);
  }

  #holdClients(random: SeededRandom): void {
    const { entries, time } = this.#options.system;
    const until = time.now + random.between(500, MAXIMUM_HOLD_MILLISECONDS);
    const chosen = random.pick(entries);
    const isAll = random.happens(0.5);
    for (const vm of entries) {
      if (isAll || vm === chosen) vm.heldUntil = until;
    }
  }

  #lag(random: SeededRandom, vms: readonly DispatchVm[]): void {
    const { time } = this.#options.system;
    const until = time.now + random.between(1_000, MAXIMUM_HOLD_MILLISECONDS);
    const shortest = random.pick([20, 300]) ?? 20;
    const longestTurn = random.pick([19, 60]) ?? 60;
    const chosen = random.pick(vms);
    const isAll = random.happens(0.3);
    const stall = (vm: DispatchVm): void => {
      if (time.now >= until) return;
      const { process } = vm;
      process.pause();
      time.after(random.between(shortest, MAXIMUM_LAG_MILLISECONDS), () => {
        process.resume(true);
        time.after(random.between(1, longestTurn), () => stall(vm));
      });
    };
    for (const vm of vms) {
      if (isAll || vm === chosen) stall(vm);
    }
  }

  #pause(random: SeededRandom, vms: readonly DispatchVm[]): void {
    const vm = random.pick(vms);
    const duration = random.between(600, MAXIMUM_PAUSE_MILLISECONDS);
    if (vm === undefined) return;
    const paused = vm.process;
    paused.pause();
    this.#options.system.time.after(duration, () => paused.resume());
  }
}

function setFaults(worker: FakeWorker, faults: Partial<WorkerFaults>): void {
  worker.faults = { ...worker.faults, ...faults };
}
