/**
 * Folds publications of the configuration in log order. A publication is accepted when it names the
 * version in force as the one that it replaces, so that of two racing operators the first in the
 * log wins in every process. A publication that was appended again, because the reply to the first
 * append was lost, changes nothing.
 *
 * A reader that begins after retention has dropped older records cannot evaluate every publication
 * by itself. It holds the publications that it reads until a refresh, a peer or a publisher states
 * the version in force at some log offset, provided that the reader has read all records from that
 * offset on. It then evaluates the publications that it holds.
 */
import {
  assertInvariant,
  type ConfigurationPublished,
  type ConfigurationVersion,
  Invariant,
  type LogOffset,
} from "@eelgrassfront/model";

/** Result of evaluating a publication. */
export enum PublicationVerdict {
  Accepted = "accepted",
  Repeated = "repeated",
  Refreshed = "refreshed",
  Rejected = "rejected",
  /** Older than the version in force, which this reader got from another source. */
  Superseded = "superseded",
  /** This reader lacks the records needed for the evaluation. */
  Undecided = "undecided",
}

/** A publication with its verdict. */
export interface PublicationEvaluation {
  readonly verdict: PublicationVerdict;
  readonly publication: string;
  readonly offset: LogOffset;
  /** For a rejected publication: offset of the version in force. */
  readonly rejectedBy?: LogOffset;
}

interface StoredPublication {
  readonly offset: LogOffset;
  readonly record: ConfigurationPublished;
}

const FIRST_OFFSET: LogOffset = 1;
const FIRST_VERSION_REPLACES: LogOffset = 0;

/** Tracks the version in force and decides which publications replace it. */
export class ConfigurationTracker {
  #current: ConfigurationVersion | undefined;
  #completeFrom: LogOffset = FIRST_OFFSET;
  #canEvaluate = true;
  #heldPublications: StoredPublication[] = [];
  #lastRecordOffset: LogOffset = 0;

  /** The version in force, if any is known. */
  get current(): ConfigurationVersion | undefined {
    return this.#current;
  }

  /** Offset of the newest record that carries the version in force; 0 when none was read. */
  get lastRecordOffset(): LogOffset {
    return this.#lastRecordOffset;
  }

  /** Whether this reader can evaluate the next publication. */
  get canEvaluate(): boolean {
    return this.#canEvaluate;
  }

  /** Marks the unread records below an offset as missing, since the log no longer has them. */
  markMissingBefore(offset: LogOffset): void {
    this.#completeFrom = offset;
    this.#canEvaluate = false;
    this.#heldPublications = [];
  }

  /** Evaluates one publication. Publications must be passed in log order. */
  apply(
    offset: LogOffset,
    record: ConfigurationPublished,
  ): PublicationEvaluation {
    if (record.firstOffset !== undefined) return this.#refresh(offset, record);
    if (this.#canEvaluate) return this.#evaluate({ offset, record });
    this.#heldPublications.push({ offset, record });
    const { publication, readTo, replaces } = record;
    const isBaseKnown = readTo !== undefined && readTo >= this.#completeFrom;
    if (!isBaseKnown) {
      return { verdict: PublicationVerdict.Undecided, publication, offset };
    }
    this.#evaluateHeld(replaces, readTo);
    return this.#evaluationOf({ offset, record });
  }

  /**
   * Adopts a version that was in force after all records below `readTo`, if it is newer. Evaluates the
   * held publications if this reader has all records from `readTo` on.
   *
   * @returns true when the version in force changed
   */
  adopt(version: ConfigurationVersion, readTo: LogOffset): boolean {
    const before = this.#current;
    if (before === undefined || version.offset > before.offset) {
      this.#setCurrent(version);
      this.#lastRecordOffset = 0;
    }
    const isCurrent = version.offset === this.#current?.offset;
    if (!this.#canEvaluate && isCurrent && readTo >= this.#completeFrom) {
      this.#evaluateHeld(version.offset, readTo);
    }
    return this.#current !== before;
  }

  #refresh(
    offset: LogOffset,
    record: ConfigurationPublished,
  ): PublicationEvaluation {
    const version = versionOf(record.firstOffset ?? offset, record);
    const isChanged = this.adopt(version, record.readTo ?? 0);
    if (version.offset === this.#current?.offset) {
      this.#lastRecordOffset = offset;
    }
    return {
      verdict: isChanged
        ? PublicationVerdict.Accepted
        : PublicationVerdict.Refreshed,
      publication: record.publication,
      offset,
    };
  }

  /**
   * Evaluates the held publications, starting with the version that was in force at a log offset.
   */
  #evaluateHeld(base: LogOffset, readTo: LogOffset): void {
    const held = this.#heldPublications.filter(({ offset }) =>
      offset >= readTo
    );
    this.#canEvaluate = true;
    this.#heldPublications = [];
    let inForce = base;
    for (const stored of held) {
      if (stored.record.replaces !== inForce) continue;
      inForce = stored.offset;
      this.#acceptIfNewer(stored);
    }
  }

  #acceptIfNewer({ offset, record }: StoredPublication): void {
    if (offset <= (this.#current?.offset ?? 0)) return;
    this.#setCurrent(versionOf(offset, record));
    this.#lastRecordOffset = offset;
  }

  #evaluationOf({ offset, record }: StoredPublication): PublicationEvaluation {
    const { publication } = record;
    const inForce = this.#current?.offset ?? FIRST_VERSION_REPLACES;
    return offset === inForce
      ? { verdict: PublicationVerdict.Accepted, publication, offset }
      : {
        verdict: PublicationVerdict.Rejected,
        publication,
        offset,
        rejectedBy: inForce,
      };
  }

  #evaluate({ offset, record }: StoredPublication): PublicationEvaluation {
    const evaluated = { publication: record.publication, offset };
    const inForce = this.#current?.offset ?? FIRST_VERSION_REPLACES;
    if (this.#current?.publication === record.publication) {
      return { ...evaluated, verdict: PublicationVerdict.Repeated };
    }
    if (offset <= inForce) {
      return { ...evaluated, verdict: PublicationVerdict.Superseded };
    }
    if (record.replaces !== inForce) {
      return {
        ...evaluated,
        verdict: PublicationVerdict.Rejected,
        rejectedBy: inForce,
      };
    }
    this.#setCurrent(versionOf(offset, record));
    this.#lastRecordOffset = offset;
    return { ...evaluated, verdict: PublicationVerdict.Accepted };
  }

  #setCurrent(version: ConfigurationVersion): void {
    assertInvariant(
      this.#current === undefined || version.offset > this.#current.offset,
      Invariant.ConfigurationNeverReverts,
      () => `from ${this.#current?.offset} to ${version.offset}`,
    );
    this.#current = version;
  }
}

function versionOf(
  offset: LogOffset,
  record: ConfigurationPublished,
): ConfigurationVersion {
  return {
    offset,
    publication: record.publication,
    publishedBy: record.publishedBy,
    configuration: record.configuration,
  };
}
