/**
 * Start records that runners reported for the tasks of earlier owners, by submission.
 */
import {
  type Milliseconds,
  type ProcessIdentifier,
  type ShardNumber,
  type StartRecord,
  type SubmissionIdentifier,
} from "@eelgrassfront/model";
import { ExpiringMap } from "@eelgrassfront/retention";

/** A start record with the runner that reported it. */
export interface ReportedStart {
  readonly runner: ProcessIdentifier;
  readonly record: StartRecord;
}

/** The reported starts of one submission, by task index. */
export interface SubmissionStarts {
  readonly digest: string;
  readonly shard: ShardNumber;
  readonly starts: ReadonlyMap<number, ReportedStart>;
}

/** The start records reported by runners, by submission. */
export class StartRecordIndex {
  readonly #submissions: ExpiringMap<SubmissionIdentifier, SubmissionStarts>;

  constructor(options: { readonly horizonMilliseconds: Milliseconds }) {
    this.#submissions = new ExpiringMap({
      horizonMilliseconds: options.horizonMilliseconds,
      // Early eviction of a record would allow a second start. Runners limit the records they report.
      maximumWeight: Infinity,
      weigh: () => 1,
    });
  }

  /** Finds the reported starts of a submission. */
  find(submission: SubmissionIdentifier): SubmissionStarts | undefined {
    return this.#submissions.get(submission);
  }

  /** Adds the records of one runner. A record with a result takes precedence over one without. */
  add(
    now: Milliseconds,
    runner: ProcessIdentifier,
    records: readonly StartRecord[],
  ): void {
    for (const record of records) this.#addOne(now, { runner, record });
  }

  /** Removes the records of a shard that this owner has lost. */
  removeShard(shard: ShardNumber): void {
    for (const [submission, known] of [...this.#submissions.entries()]) {
      if (known.shard === shard) this.#submissions.delete(submission);
    }
  }

  #addOne(now: Milliseconds, reported: ReportedStart): void {
    const { submission, digest, shard, taskIndex } = reported.record;
    const known = this.#submissions.get(submission);
    const starts = new Map(known?.starts ?? []);
    const earlier = starts.get(taskIndex);
    if (earlier?.record.end === undefined) starts.set(taskIndex, reported);
    this.#submissions.set(now, submission, { digest, shard, starts });
  }
}
