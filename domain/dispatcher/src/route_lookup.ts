/**
 * Lookup of the route of a client's request in the configuration in force.
 */
import type { FleetDirectory } from "@eelgrassfront/directory";
import {
  ClientAnswerKind,
  findRoute,
  JobRefusalReason,
  type RequestIdentifier,
  type RequestTarget,
  type WorkRoute,
} from "@eelgrassfront/model";
import type { JobAnswers } from "./job_answers.ts";

/** A route with the version of the configuration that it is from. */
export interface VersionedRoute {
  readonly route: WorkRoute;
  readonly version: number;
}

/** Collaborators of a `RouteLookup`. */
export interface RouteLookupOptions {
  readonly directory: FleetDirectory;
  readonly answers: JobAnswers;
}

/** Finds routes and answers the requests that have none. */
export class RouteLookup {
  readonly #options: RouteLookupOptions;

  constructor(options: RouteLookupOptions) {
    this.#options = options;
  }

  /** Returns the route of a request, or answers the request if there is none. */
  find(
    request: RequestIdentifier,
    { host, path }: RequestTarget,
  ): VersionedRoute | undefined {
    const { answers, directory: { configuration } } = this.#options;
    if (configuration === undefined) {
      answers.answer(request, {
        kind: ClientAnswerKind.Refused,
        reason: JobRefusalReason.Starting,
      });
      return undefined;
    }
    const route = findRoute(configuration, host, path);
    if (route !== undefined) return { route, version: configuration.version };
    answers.answer(request, { kind: ClientAnswerKind.NoSuchRoute });
    return undefined;
  }
}
