/**
 * Folds publications of the configuration in log order. A publication is accepted when it names the
 * version in force, so that of two racing operators the first in the log wins everywhere. A repeated
 * publication (the publisher never saw the answer to its append) changes nothing.
 *
 * A reader that begins after retention has dropped older records cannot judge a publication that
 * replaces a version it never saw. It waits for a refresh, which carries the first offset of the
 * version in force, or for a peer.
 */
import {
  assertInvariant,
  type ConfigurationPublished,
  type ConfigurationVersion,
  Invariant,
  type LogOffset,
} from "@eelgrassfront/model";

/** What became of a publication. */
export enum Verdict {
  Accepted = "accepted",
  Repeated = "repeated",
  Refreshed = "refreshed",
  Rejected = "rejected",
  /** This reader lacks the records needed to judge. */
  Undecided = "undecided",
}

/** The verdict on one publication. */
export interface Judgement {
  readonly verdict: Verdict;
  readonly publication: string;
  readonly offset: LogOffset;
  /** For a rejected publication: the version that was in force. */
  readonly rejectedBy?: LogOffset;
}

const FIRST_VERSION_REPLACES: LogOffset = 0;

/** The version in force and the rule by which it changes. */
export class ConfigurationHistory {
  #current: ConfigurationVersion | undefined;
  #isWholeLogRead = true;
  #lastRefreshOffset: LogOffset = 0;

  /** The version in force, if any is known. */
  get current(): ConfigurationVersion | undefined {
    return this.#current;
  }

  /** Offset of the newest record that carries the version in force. */
  get lastRefreshOffset(): LogOffset {
    return this.#lastRefreshOffset;
  }

  /** Notes that older records are no longer in the log. */
  missOlderRecords(): void {
    if (this.#current === undefined) this.#isWholeLogRead = false;
  }

  /** Judges one publication; call in log order. */
  apply(offset: LogOffset, record: ConfigurationPublished): Judgement {
    const judged = { publication: record.publication, offset };
    if (record.firstOffset !== undefined) {
      return { ...judged, verdict: this.#refresh(offset, record) };
    }
    if (this.#current?.publication === record.publication) {
      return { ...judged, verdict: Verdict.Repeated };
    }
    if (this.#current === undefined && !this.#isWholeLogRead) {
      return { ...judged, verdict: Verdict.Undecided };
    }
    const inForce = this.#current?.offset ?? FIRST_VERSION_REPLACES;
    if (this.#current !== undefined && offset <= inForce) {
      return { ...judged, verdict: Verdict.Repeated };
    }
    if (record.replaces !== inForce) {
      return { ...judged, verdict: Verdict.Rejected, rejectedBy: inForce };
    }
    this.#put(versionOf(offset, record));
    this.#lastRefreshOffset = offset;
    return { ...judged, verdict: Verdict.Accepted };
  }

  /**
   * Takes a version learnt from a peer.
   *
   * @returns true when it is newer than the version in force
   */
  learn(version: ConfigurationVersion): boolean {
    if (this.#current !== undefined && version.offset <= this.#current.offset) {
      return false;
    }
    this.#put(version);
    return true;
  }

  #refresh(offset: LogOffset, record: ConfigurationPublished): Verdict {
    const version = versionOf(record.firstOffset ?? offset, record);
    const isNewer = this.learn(version);
    if (version.offset === this.#current?.offset) {
      this.#lastRefreshOffset = Math.max(this.#lastRefreshOffset, offset);
    }
    return isNewer ? Verdict.Accepted : Verdict.Refreshed;
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
