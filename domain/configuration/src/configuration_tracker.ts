/**
 * Folds publications of the configuration in log order. A publication is accepted when it names the
 * version in force, so that of two racing operators the first in the log wins everywhere. A repeated
 * publication (the publisher never saw the answer to its append) changes nothing.
 *
 * A reader that begins after retention has dropped older records cannot judge every publication by
 * itself. It keeps what it reads until a refresh, a peer or a publisher tells which version was in force
 * at a point of the log from which on this reader has read everything, and then judges what followed.
 */
import {
  assertInvariant,
  type ConfigurationPublished,
  type ConfigurationVersion,
  Invariant,
  type LogOffset,
} from "@eelgrassfront/model";

/** What became of a publication. */
export enum PublicationVerdict {
  Accepted = "accepted",
  Repeated = "repeated",
  Refreshed = "refreshed",
  Rejected = "rejected",
  /** Older than the version in force, which this reader learnt elsewhere. */
  Superseded = "superseded",
  /** This reader lacks the records needed to judge. */
  Undecided = "undecided",
}

/** The verdict on one publication. */
export interface PublicationEvaluation {
  readonly verdict: PublicationVerdict;
  readonly publication: string;
  readonly offset: LogOffset;
  /** For a rejected publication: the version that was in force. */
  readonly rejectedBy?: LogOffset;
}

interface PlacedPublication {
  readonly offset: LogOffset;
  readonly record: ConfigurationPublished;
}

const FIRST_OFFSET: LogOffset = 1;
const FIRST_VERSION_REPLACES: LogOffset = 0;

/** The version in force and the rule by which it changes. */
export class ConfigurationTracker {
  #current: ConfigurationVersion | undefined;
  #knownFrom: LogOffset = FIRST_OFFSET;
  #isDecided = true;
  #undecided: PlacedPublication[] = [];
  #lastRecordOffset: LogOffset = 0;

  /** The version in force, if any is known. */
  get current(): ConfigurationVersion | undefined {
    return this.#current;
  }

  /** Offset of the newest record that carries the version in force; 0 when none was read. */
  get lastRecordOffset(): LogOffset {
    return this.#lastRecordOffset;
  }

  /** Whether this reader can judge the next publication. */
  get isDecided(): boolean {
    return this.#isDecided;
  }

  /** Notes that records below an offset are no longer in the log and were not read. */
  markMissingBefore(offset: LogOffset): void {
    this.#knownFrom = offset;
    this.#isDecided = false;
    this.#undecided = [];
  }

  /** Judges one publication; call in log order. */
  apply(
    offset: LogOffset,
    record: ConfigurationPublished,
  ): PublicationEvaluation {
    if (record.firstOffset !== undefined) return this.#refresh(offset, record);
    if (this.#isDecided) return this.#judge({ offset, record });
    this.#undecided.push({ offset, record });
    const { publication, readTo, replaces } = record;
    const isBaseKnown = readTo !== undefined && readTo >= this.#knownFrom;
    if (!isBaseKnown) {
      return { verdict: PublicationVerdict.Undecided, publication, offset };
    }
    this.#decide(replaces, readTo);
    return this.#judgementOf({ offset, record });
  }

  /**
   * Takes a version that was in force when every record below an offset had been read.
   *
   * @returns true when another version is in force here from now on
   */
  adopt(version: ConfigurationVersion, readTo: LogOffset): boolean {
    const before = this.#current;
    if (before === undefined || version.offset > before.offset) {
      this.#put(version);
      this.#lastRecordOffset = 0;
    }
    const isCurrent = version.offset === this.#current?.offset;
    if (!this.#isDecided && isCurrent && readTo >= this.#knownFrom) {
      this.#decide(version.offset, readTo);
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

  /** Judges what was kept, from the version that was in force at a point of the log. */
  #decide(base: LogOffset, readTo: LogOffset): void {
    const kept = this.#undecided.filter(({ offset }) => offset >= readTo);
    this.#isDecided = true;
    this.#undecided = [];
    let inForce = base;
    for (const placed of kept) {
      if (placed.record.replaces !== inForce) continue;
      inForce = placed.offset;
      this.#acceptIfNewer(placed);
    }
  }

  #acceptIfNewer({ offset, record }: PlacedPublication): void {
    if (offset <= (this.#current?.offset ?? 0)) return;
    this.#put(versionOf(offset, record));
    this.#lastRecordOffset = offset;
  }

  #judgementOf({ offset, record }: PlacedPublication): PublicationEvaluation {
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

  #judge({ offset, record }: PlacedPublication): PublicationEvaluation {
    const judged = { publication: record.publication, offset };
    const inForce = this.#current?.offset ?? FIRST_VERSION_REPLACES;
    if (this.#current?.publication === record.publication) {
      return { ...judged, verdict: PublicationVerdict.Repeated };
    }
    if (offset <= inForce) {
      return { ...judged, verdict: PublicationVerdict.Superseded };
    }
    if (record.replaces !== inForce) {
      return {
        ...judged,
        verdict: PublicationVerdict.Rejected,
        rejectedBy: inForce,
      };
    }
    this.#put(versionOf(offset, record));
    this.#lastRecordOffset = offset;
    return { ...judged, verdict: PublicationVerdict.Accepted };
  }

  #put(version: ConfigurationVersion): void {
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
