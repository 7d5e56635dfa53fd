/**
 * Injects the faults of a schedule into a virtual system, and ends them after their durations.
 */
import {
  assertNever,
  type ConfigurationPublished,
  InputKind,
  LogRecordKind,
  type Milliseconds,
  type ProcessIdentifier,
} from "@eelgrassfront/model";
import { NO_NETWORK_FAULTS } from "./fake_network.ts";
import {
  type ConfigurationRace,
  type Fault,
  FaultKind,
  type LogFault,
  type ProcessFault,
} from "./fault_schedule.ts";
import { SAMPLE_CONFIGURATION } from "./sample_work.ts";
import { ProcessState, type VirtualProcess } from "./virtual_process.ts";
import { type VirtualSystem, zoneOf } from "./virtual_system.ts";

const SLOW_APPEND_MILLISECONDS: Milliseconds = 150;
const LOST_ANSWERS_PROBABILITY = 0.5;
const DRAIN_CHECK_MILLISECONDS: Milliseconds = 100;

/** Injects faults into one system. */
export class FaultInjector {
  readonly #system: VirtualSystem;
  #publications = 0;

  constructor(system: VirtualSystem) {
    this.#system = system;
  }

  /** Schedules the start of every fault; its end is scheduled when it starts. */
  schedule(faults: readonly Fault[]): void {
    const { time } = this.#system;
    for (const fault of faults) {
      time.after(fault.at - time.now, () => this.#startFault(fault));
    }
  }

  #startFault(fault: Fault): void {
    switch (fault.kind) {
      case FaultKind.NetworkDegraded: {
        const { network } = this.#system;
        network.faults = fault;
        this.#scheduleEnd(fault, () => network.faults = NO_NETWORK_FAULTS);
        return;
      }
      case FaultKind.SidecarKilled:
      case FaultKind.EntryKilled:
      case FaultKind.SidecarPaused:
      case FaultKind.SidecarSendsDelayed:
      case FaultKind.SidecarDrained:
      case FaultKind.TaskAnswersLost:
      case FaultKind.BackendServerFailing:
        this.#startProcessFault(fault);
        return;
      case FaultKind.ZonePartitioned:
        this.#partitionZone(zoneOf(fault.zoneIndex));
        if (fault.isLogCut) this.#cutLog(fault, zoneOf(fault.zoneIndex));
        this.#scheduleEnd(fault, () => this.#system.network.restoreAllLinks());
        return;
      case FaultKind.LinkCutOneWay:
        this.#cutOneWay(fault.from, fault.to);
        this.#scheduleEnd(fault, () => this.#system.network.restoreAllLinks());
        return;
      case FaultKind.LogUnavailable:
      case FaultKind.LogSlow:
      case FaultKind.AppendAnswersLost:
        this.#startLogFault(fault);
        return;
      case FaultKind.ConfigurationRace:
        this.#publishConcurrently(fault);
        return;
      default:
        assertNever(fault);
    }
  }

  #startProcessFault(fault: ProcessFault): void {
    const { index } = fault;
    const entry = this.#system.entries[index];
    const sidecar = this.#system.sidecars[index];
    switch (fault.kind) {
      case FaultKind.EntryKilled:
        if (entry !== undefined) this.#killEntry(fault, entry);
        return;
      case FaultKind.SidecarKilled:
        if (sidecar !== undefined) this.#killSidecar(fault, sidecar.process);
        return;
      case FaultKind.SidecarPaused:
        sidecar?.process.pause();
        this.#scheduleEnd(fault, () => sidecar?.process.resume());
        return;
      case FaultKind.SidecarSendsDelayed:
        if (sidecar !== undefined) this.#delaySends(fault, sidecar.process);
        return;
      case FaultKind.SidecarDrained:
        if (sidecar !== undefined) this.#drain(fault, sidecar.process);
        return;
      case FaultKind.TaskAnswersLost:
        if (sidecar === undefined) return;
        sidecar.backendServer.answerLossProbability = LOST_ANSWERS_PROBABILITY;
        this.#scheduleEnd(fault, () => {
          sidecar.backendServer.answerLossProbability = 0;
        });
        return;
      case FaultKind.BackendServerFailing:
        if (sidecar === undefined) return;
        sidecar.backendServer.isFailing = true;
        this.#scheduleEnd(fault, () => {
          sidecar.backendServer.isFailing = false;
        });
        return;
    }
  }

  #killEntry(fault: ProcessFault, process: VirtualProcess): void {
    if (process.state === ProcessState.Ended) return;
    this.#system.kill(process);
    this.#scheduleEnd(fault, () => this.#system.startEntry(fault.index));
  }

  #killSidecar(fault: ProcessFault, process: VirtualProcess): void {
    if (process.state === ProcessState.Ended) return;
    this.#system.kill(process);
    this.#scheduleEnd(fault, () => this.#system.startSidecar(fault.index));
  }

  #delaySends(fault: ProcessFault, { identifier }: VirtualProcess): void {
    const { network } = this.#system;
    network.delaySendsUntil(identifier, fault.at + fault.durationMilliseconds);
  }

  #cutLog(fault: Fault, zone: string): void {
    const { log } = this.#system;
    const affected = this.#processesWithZones().filter((process) =>
      process.zone === zone
    );
    for (const { identifier } of affected) log.partitioned.add(identifier);
    this.#scheduleEnd(fault, () => {
      for (const { identifier } of affected) log.partitioned.delete(identifier);
    });
  }

  #drain(fault: ProcessFault, process: VirtualProcess): void {
    if (process.state !== ProcessState.Running) return;
    process.receive({ kind: InputKind.DrainRequested });
    this.#scheduleEnd(fault, () => this.#restartWhenEnded(fault, process));
  }

  #restartWhenEnded(fault: ProcessFault, process: VirtualProcess): void {
    const isCurrent = this.#system.sidecars[fault.index]?.process === process;
    if (!isCurrent) return;
    if (process.state === ProcessState.Ended) {
      this.#system.startSidecar(fault.index);
      return;
    }
    this.#system.time.after(
      DRAIN_CHECK_MILLISECONDS,
      () => this.#restartWhenEnded(fault, process),
    );
  }

  #partitionZone(zone: string): void {
    const processes = this.#processesWithZones();
    for (const inside of processes) {
      for (const outside of processes) {
        if (inside.zone !== zone || outside.zone === zone) continue;
        this.#system.network.cutLink(inside.identifier, outside.identifier);
        this.#system.network.cutLink(outside.identifier, inside.identifier);
      }
    }
  }

  #cutOneWay(from: number, to: number): void {
    const sender = this.#system.sidecars[from]?.process;
    const receiver = this.#system.sidecars[to]?.process;
    if (sender === undefined || receiver === undefined) return;
    this.#system.network.cutLink(sender.identifier, receiver.identifier);
  }

  #processesWithZones(): readonly ProcessWithZone[] {
    const { sidecars, entries } = this.#system;
    const withZone = ({ identifier }: VirtualProcess, index: number) => ({
      identifier,
      zone: zoneOf(index),
    });
    return [
      ...sidecars.map(({ process }, index) => withZone(process, index)),
      ...entries.map(withZone),
    ];
  }

  #startLogFault(fault: LogFault): void {
    const { log } = this.#system;
    switch (fault.kind) {
      case FaultKind.LogUnavailable:
        log.isUnavailable = true;
        this.#scheduleEnd(fault, () => log.isUnavailable = false);
        return;
      case FaultKind.LogSlow:
        log.additionalAppendMilliseconds = SLOW_APPEND_MILLISECONDS;
        this.#scheduleEnd(fault, () => log.additionalAppendMilliseconds = 0);
        return;
      case FaultKind.AppendAnswersLost:
        log.answerLossProbability = LOST_ANSWERS_PROBABILITY;
        this.#scheduleEnd(fault, () => log.answerLossProbability = 0);
        return;
    }
  }

  #publishConcurrently(fault: ConfigurationRace): void {
    const { log } = this.#system;
    const replaces =
      log.records.findLast(({ record }) =>
        record.kind === LogRecordKind.ConfigurationPublished
      )?.offset ?? 0;
    for (let operator = 0; operator < fault.operators; operator += 1) {
      this.#publications += 1;
      const record: ConfigurationPublished = {
        kind: LogRecordKind.ConfigurationPublished,
        publication: `publication ${this.#publications}`,
        replaces,
        publishedBy: `operator ${operator}`,
        configuration: SAMPLE_CONFIGURATION,
      };
      log.append(0, record, () => {});
    }
  }

  #scheduleEnd(fault: Fault, act: () => void): void {
    this.#system.time.after(fault.durationMilliseconds, act);
  }
}

interface ProcessWithZone {
  readonly identifier: ProcessIdentifier;
  readonly zone: string;
}
