/**
 * The configuration as the platform's log tells it, read and judged by the same rule as every process.
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

/** One publication with what became of it. */
export interface JudgedPublication {
  readonly offset: LogOffset;
  readonly verdict: PublicationVerdict;
  readonly rejectedBy?: LogOffset;
  readonly record: ConfigurationPublished;
}

/** The configuration as far as the log was read. */
export interface ConfigurationReading {
  /** Missing when nothing is published, or when the log no longer shows what is in force. */
  readonly current?: ConfigurationVersion;
  /** Whether a publication can be judged. */
  readonly isDecided: boolean;
  readonly publications: readonly JudgedPublication[];
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
   * Reads the whole log.
   *
   * @throws when the log does not answer
   */
  async read(): Promise<ConfigurationReading> {
    const history = new ConfigurationTracker();
    const publications: JudgedPublication[] = [];
    let readTo = FIRST_OFFSET;
    let isAtEnd = false;
    while (!isAtEnd) {
      const page = await this.#readPage(readTo);
      if (page.firstRetained > readTo) {
        history.markMissingBefore(page.firstRetained);
      }
      publications.push(...judge(history, page));
      readTo = page.nextOffset;
      isAtEnd = page.isAtEnd;
    }
    const { current, isDecided } = history;
    const reading = { isDecided, publications, readTo };
    return current === undefined ? reading : { ...reading, current };
  }

  /**
   * Appends a publication.
   *
   * @returns its offset
   * @throws when the answer is lost; the append may have taken effect
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

function judge(
  history: ConfigurationTracker,
  page: ReadPage,
): readonly JudgedPublication[] {
  return page.records.flatMap(({ offset, record }) => {
    if (!isPublication(record)) return [];
    const { verdict, rejectedBy } = history.apply(offset, record);
    const judged = { offset, verdict, record };
    return [rejectedBy === undefined ? judged : { ...judged, rejectedBy }];
  });
}

function isPublication(
  record: { readonly kind: string },
): record is ConfigurationPublished {
  return record.kind === LogRecordKind.ConfigurationPublished;
}
