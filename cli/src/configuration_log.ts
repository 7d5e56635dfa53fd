/**
 * Reads the configuration from the platform's log, and evaluates it by the same rule as every process.
 */
import {
  ConfigurationTracker,
  type PublicationVerdict,
} from "@eelgrassfront/configuration";
import {
  type ConfigurationPublished,
  type ConfigurationVersion,
  type LogOffset,
  LogRecordKind,
  type Milliseconds,
} from "@eelgrassfront/model";
import { request } from "undici";
import * as zod from "zod";

/** A publication with its verdict. */
export interface EvaluatedPublication {
  readonly offset: LogOffset;
  readonly verdict: PublicationVerdict;
  readonly rejectedBy?: LogOffset;
  readonly record: ConfigurationPublished;
}

/** The configuration as of the end of the log. */
export interface ConfigurationReading {
  /** Missing when nothing is published, or when the log no longer holds the version in force. */
  readonly current?: ConfigurationVersion;
  /** Whether the log holds the records that are needed to evaluate a publication. */
  readonly canEvaluate: boolean;
  readonly publications: readonly EvaluatedPublication[];
  /** Offset below which every record was read. */
  readonly readTo: LogOffset;
}

const REQUEST_TIMEOUT_MILLISECONDS: Milliseconds = 5_000;
const FIRST_OFFSET: LogOffset = 1;

const readSchema = zod.object({
  firstRetained: zod.number().int(),
  nextOffset: zod.number().int(),
  isAtEnd: zod.boolean(),
  records: zod.array(zod.object({
    offset: zod.number().int(),
    record: zod.custom<{ readonly kind: string }>((value) =>
      typeof value === "object" && value !== null && "kind" in value
    ),
  })),
});
const appendSchema = zod.object({ offset: zod.number().int().positive() });

type ReadPage = zod.infer<typeof readSchema>;

/** Reads and appends configuration records. */
export class ConfigurationLog {
  readonly #origin: string;

  /** @param origin origin of the log, as `http://host:port` */
  constructor(origin: string) {
    this.#origin = origin;
  }

  /**
   * Reads every record that the log retains.
   *
   * @throws when the log does not respond
   */
  async read(): Promise<ConfigurationReading> {
    const tracker = new ConfigurationTracker();
    const publications: EvaluatedPublication[] = [];
    let readTo = FIRST_OFFSET;
    let isAtEnd = false;
    while (!isAtEnd) {
      const page = await this.#readPage(readTo);
      if (page.firstRetained > readTo) {
        tracker.markMissingBefore(page.firstRetained);
      }
      publications.push(...evaluatePublications(tracker, page));
      readTo = page.nextOffset;
      isAtEnd = page.isAtEnd;
    }
    const { current, canEvaluate } = tracker;
    const reading = { canEvaluate, publications, readTo };
    return current === undefined ? reading : { ...reading, current };
  }

  /**
   * Appends a publication.
   *
   * @returns its offset
   * @throws when the response is lost; the append may have taken effect
   */
  async append(record: ConfigurationPublished): Promise<LogOffset> {
    const response = await request(`${this.#origin}/records`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(record),
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MILLISECONDS),
    });
    return appendSchema.parse(await response.body.json()).offset;
  }

  async #readPage(from: LogOffset): Promise<ReadPage> {
    const response = await request(`${this.#origin}/records`, {
      query: { from, waitMilliseconds: 0 },
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MILLISECONDS),
    });
    return readSchema.parse(await response.body.json());
  }
}

function evaluatePublications(
  tracker: ConfigurationTracker,
  page: ReadPage,
): readonly EvaluatedPublication[] {
  return page.records.flatMap(({ offset, record }) => {
    if (!isPublication(record)) return [];
    const { verdict, rejectedBy } = tracker.apply(offset, record);
    const evaluated = { offset, verdict, record };
    return [
      rejectedBy === undefined ? evaluated : { ...evaluated, rejectedBy },
    ];
  });
}

function isPublication(
  record: { readonly kind: string },
): record is ConfigurationPublished {
  return record.kind === LogRecordKind.ConfigurationPublished;
}
