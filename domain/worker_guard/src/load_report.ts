/**
 * The load of the worker as each entry is told. Capacity that is offered to another entry, or reserved for a
 * suspect job of another entry, does not appear as free.
 */
import type { FleetDirectory } from "@eelgrassfront/directory";
import {
  NO_RESOURCES,
  type ProcessIdentifier,
  type Resources,
  subtractResources,
  type WorkerLoad,
} from "@eelgrassfront/model";
import type { EntrySessions } from "./entry_sessions.ts";
import type { LoadWatches } from "./load_watches.ts";
import type { RunController } from "./run_controller.ts";
import type { RunTable } from "./run_table.ts";
import type { SuspectRuns } from "./suspect_runs.ts";
import type { WorkerLink } from "./worker_link.ts";

/** Sources of a `LoadReport`. */
export interface LoadReportOptions {
  readonly link: WorkerLink;
  readonly table: RunTable;
  readonly runController: RunController;
  readonly sessions: EntrySessions;
  readonly watches: LoadWatches;
  readonly suspectRuns: SuspectRuns;
  readonly directory: FleetDirectory;
  readonly isDraining: () => boolean;
  /** Whether the operators have evacuated the zone. */
  readonly isEvacuated: () => boolean;
}

/** Reports the load of the worker. */
export class LoadReport {
  readonly #options: LoadReportOptions;

  constructor(options: LoadReportOptions) {
    this.#options = options;
  }

  /** Returns the load that an entry is told; undefined while no worker is known. */
  of(entry: ProcessIdentifier): WorkerLoad | undefined {
    const { link, table, runController, sessions, watches, suspectRuns } =
      this.#options;
    if (link.description === undefined) return undefined;
    // What is offered to an entry must not appear as free in a settlement to another one.
    watches.offerCapacity();
    const waiting = watches.waitingAtOthers(entry);
    return {
      revision: table.revision,
      worker: link.description.incarnation.id,
      free: suspectRuns.isReservedAgainstEntry(entry)
        ? NO_RESOURCES
        : subtractResources(
          this.freeResources(),
          watches.offeredToOthers(entry),
        ),
      slowness: roundSlowness(runController.slowness),
      isTakingWork: this.#isTakingWork(),
      requestsTaken: sessions.requestsTaken(entry),
      ...(this.isReportedCold ? { isCold: true } : {}),
      ...(waiting === undefined ? {} : { waiting }),
    };
  }

  /** Whether entries are told that the worker is cold, which matters only where zones are evacuated and restored. */
  get isReportedCold(): boolean {
    const { link, directory } = this.#options;
    return directory.evacuations.isInUse && link.isCold;
  }

  /** Returns the capacity that accepted attempts leave free; negative while a shrunken capacity is exceeded. */
  freeResources(): Resources {
    const { link, table } = this.#options;
    const { capacity } = link.description ?? { capacity: NO_RESOURCES };
    return subtractResources(capacity, table.used);
  }

  /** Returns the free capacity that waiting entries may be offered; undefined while there is none for them. */
  offerableResources(): Resources | undefined {
    return this.#isTakingWork() && !this.#options.suspectRuns.isReserved
      ? this.freeResources()
      : undefined;
  }

  #isTakingWork(): boolean {
    const { link, runController, isDraining, isEvacuated } = this.#options;
    return link.isTakingWork && runController.isReconciled && !isDraining() &&
      !isEvacuated();
  }
}

/** Rounds to two decimals, which is finer than the estimate and shorter in messages. */
function roundSlowness(slowness: number): number {
  return Math.round(slowness * 100) / 100;
}
