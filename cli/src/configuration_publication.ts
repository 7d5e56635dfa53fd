/**
 * Publishes a configuration: appends it to the log with a publication identifier, and again with the same
 * identifier when a response is lost. Then reads from the log whether the publication was accepted, so that
 * the operator gets the result and not only the confirmation that the configuration was sent.
 */
import { isDeepStrictEqual } from "node:util";
import { setTimeout } from "node:timers/promises";
import { PublicationVerdict } from "@eelgrassfront/configuration";
import {
  type Configuration,
  type LogOffset,
  LogRecordKind,
  type Milliseconds,
} from "@eelgrassfront/model";
import type {
  ConfigurationLog,
  ConfigurationReading,
  EvaluatedPublication,
} from "./configuration_log.ts";

/** Results of a publication. */
export enum PublicationKind {
  Accepted = "accepted",
  Rejected = "rejected",
  /** The identifier was used before for another configuration. */
  IdentifierReused = "identifier-reused",
  /** The log did not show the result; publish again with the same identifier. */
  Unknown = "unknown",
}

/** The version is accepted; a later one may have replaced it. */
export interface PublicationAccepted {
  readonly kind: PublicationKind.Accepted;
  readonly version: LogOffset;
  readonly inForce: LogOffset;
}

/** The version in force was not the one that the publication replaces. */
export interface PublicationRejected {
  readonly kind: PublicationKind.Rejected;
  readonly rejectedBy: LogOffset;
  readonly publishedBy: string;
}

/** The log holds another configuration with the same identifier. */
export interface IdentifierReused {
  readonly kind: PublicationKind.IdentifierReused;
  readonly offset: LogOffset;
}

/** Whether the publication was accepted is unknown. */
export interface PublicationUnknown {
  readonly kind: PublicationKind.Unknown;
  readonly detail: string;
}

/** Any result of a publication. */
export type PublicationResult =
  | PublicationAccepted
  | PublicationRejected
  | IdentifierReused
  | PublicationUnknown;

/** A configuration to publish. */
export interface PublicationRequest {
  readonly publication: string;
  readonly publishedBy: string;
  readonly configuration: Configuration;
  /** The version that was reviewed; default: the version in force. */
  readonly replaces?: LogOffset;
}

const NOT_EVALUATED: PublicationUnknown = {
  kind: PublicationKind.Unknown,
  detail: "the log does not show yet which version is in force",
};
const MAXIMUM_APPENDS = 5;
const RETRY_MILLISECONDS: Milliseconds = 500;

/** Publishes a configuration and returns whether it was accepted. */
export async function publish(
  log: ConfigurationLog,
  request: PublicationRequest,
): Promise<PublicationResult> {
  let detail = "the log was not contacted";
  let replaces = request.replaces;
  for (let appends = 0; appends < MAXIMUM_APPENDS; appends += 1) {
    if (appends > 0) await setTimeout(RETRY_MILLISECONDS);
    try {
      const reading = await log.read();
      const result = resultOf(reading, request);
      if (result !== undefined) return result;
      if (replaces === undefined && !reading.canEvaluate) return NOT_EVALUATED;
      // A retry replaces the same version as the first append, so that only one of them can be accepted.
      replaces ??= reading.current?.offset ?? 0;
      await log.append(recordOf(reading, { ...request, replaces }));
      return resultOf(await log.read(), request) ?? NOT_EVALUATED;
    } catch (error) {
      detail = String(error);
    }
  }
  return { kind: PublicationKind.Unknown, detail };
}

function recordOf(
  reading: ConfigurationReading,
  request: PublicationRequest & { readonly replaces: LogOffset },
) {
  const { publication, publishedBy, configuration, replaces } = request;
  const isEvaluated = reading.canEvaluate &&
    replaces === (reading.current?.offset ?? 0);
  return {
    kind: LogRecordKind.ConfigurationPublished as const,
    publication,
    replaces,
    publishedBy,
    configuration,
    ...(isEvaluated ? { readTo: reading.readTo } : {}),
  };
}

function resultOf(
  reading: ConfigurationReading,
  { publication, configuration }: PublicationRequest,
): PublicationResult | undefined {
  const found = reading.publications.filter(({ record }) =>
    record.publication === publication
  );
  const other = found.find(({ record }) =>
    !isDeepStrictEqual(record.configuration, configuration)
  );
  if (other !== undefined) {
    return { kind: PublicationKind.IdentifierReused, offset: other.offset };
  }
  return acceptanceOf(reading, found) ?? rejectionOf(reading, found);
}

function acceptanceOf(
  { current }: ConfigurationReading,
  found: readonly EvaluatedPublication[],
): PublicationResult | undefined {
  const accepted = found.find(({ verdict }) =>
    verdict === PublicationVerdict.Accepted ||
    verdict === PublicationVerdict.Refreshed
  );
  if (accepted === undefined) return undefined;
  const version = accepted.record.firstOffset ?? accepted.offset;
  return {
    kind: PublicationKind.Accepted,
    version,
    inForce: current?.offset ?? version,
  };
}

function rejectionOf(
  { publications }: ConfigurationReading,
  found: readonly EvaluatedPublication[],
): PublicationResult | undefined {
  const rejected = found.find(({ verdict }) =>
    verdict === PublicationVerdict.Rejected
  );
  const rejectedBy = rejected?.rejectedBy;
  if (rejectedBy === undefined) return undefined;
  const winner = publications.find(({ offset, record }) =>
    (record.firstOffset ?? offset) === rejectedBy
  );
  return {
    kind: PublicationKind.Rejected,
    rejectedBy,
    publishedBy: winner?.record.publishedBy ?? "unknown",
  };
}
