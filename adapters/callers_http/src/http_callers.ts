/**
 * HTTP interface of an entry for callers, documented in `docs/API.md`.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  ConnectionFault,
  type EncodedResponse,
  encodeJson,
  HttpListener,
  writeResponse,
} from "@eelgrassfront/http-server";
import {
  type AnswerCaller,
  assertNever,
  type CallerInput,
  type CallerRequestIdentifier,
  InputKind,
  type Milliseconds,
  OutputKind,
  type ProcessIdentifier,
  RejectionReason,
  type ReportReadiness,
  type SubmissionIdentifier,
  submissionIdentifier,
} from "@eelgrassfront/model";
import type { CallersPort } from "@eelgrassfront/ports";
import { createAdapter } from "@most/adapter";
import type { Stream } from "@most/types";
import { encodeAnswer, encodeRejection } from "./answer_encoding.ts";
import { BodyBudget } from "./body_budget.ts";
import { readBody } from "./body_reader.ts";
import { isIdentifier, readSubmission } from "./job_request.ts";
import { RequestError } from "./request_error.ts";
import {
  readEpochToken,
  readIdempotencyKey,
  requireHeaderCount,
  requireJson,
} from "./request_headers.ts";
import { TeamTokens } from "./team_tokens.ts";

/** Address, limits and team tokens of the interface. */
export interface HttpCallersOptions {
  readonly self: ProcessIdentifier;
  readonly host: string;
  readonly port: number;
  readonly maximumBodyBytes: number;
  /** Largest number of bytes of all bodies that are being read. */
  readonly maximumBodiesBytes: number;
  readonly maximumTasks: number;
  readonly maximumDeadlineMilliseconds: Milliseconds;
  readonly maximumConnections: number;
  readonly maximumHeaders: number;
  readonly maximumHeaderBytes: number;
  /** Time within which the headers of a request must arrive. */
  readonly headersMilliseconds: Milliseconds;
  /** Time after its headers within which the body of a request must arrive. */
  readonly bodyMilliseconds: Milliseconds;
  /** The token of each team; when left out, callers are not bound to a team. */
  readonly teamTokens?: Readonly<Record<string, string>>;
}

/** Routes for callers and load balancers. */
enum Route {
  Jobs = "jobs",
  Job = "job",
  Alive = "alive",
  Ready = "ready",
  Unknown = "unknown",
}

interface RoutedRequest {
  readonly route: Route;
  readonly job?: NamedJob;
}

interface NamedJob {
  readonly team: string;
  readonly submission: SubmissionIdentifier;
}

const JOB_PATH = /^\/v1\/jobs\/([^/]+)\/([^/]+)$/;
/** Time after the limits on headers and body at which the server aborts a request. */
const ABORT_GRACE_MILLISECONDS: Milliseconds = 1_000;

/** Serves callers over HTTP. */
export class HttpCallers implements CallersPort {
  readonly inputs: Stream<CallerInput>;
  readonly #emit: (input: CallerInput) => void;
  readonly #options: HttpCallersOptions;
  readonly #bodyBudget: BodyBudget;
  readonly #teamTokens: TeamTokens | undefined;
  readonly #responses = new Map<CallerRequestIdentifier, ServerResponse>();
  #listener: HttpListener | undefined;
  #lastRequest = 0;
  #isReady = false;

  private constructor(options: HttpCallersOptions) {
    [this.#emit, this.inputs] = createAdapter<CallerInput>();
    this.#options = options;
    this.#bodyBudget = new BodyBudget(options.maximumBodiesBytes);
    this.#teamTokens = options.teamTokens === undefined
      ? undefined
      : new TeamTokens(options.teamTokens);
  }

  /**
   * Starts to serve callers.
   *
   * @throws when the server cannot listen on the address
   */
  static async listen(options: HttpCallersOptions): Promise<HttpCallers> {
    const callers = new HttpCallers(options);
    const { headersMilliseconds, bodyMilliseconds } = options;
    callers.#listener = await HttpListener.listen({
      ...options,
      requestMilliseconds: headersMilliseconds + bodyMilliseconds +
        ABORT_GRACE_MILLISECONDS,
      serve: (request, response) => void callers.#serve(request, response),
      encodeFault: (fault) => callers.#encodeFault(fault),
    });
    return callers;
  }

  /** Port that the interface listens on. */
  get port(): number {
    return this.#listener?.port ?? 0;
  }

  perform(output: AnswerCaller | ReportReadiness): void {
    switch (output.kind) {
      case OutputKind.AnswerCaller:
        this.#respond(output);
        return;
      case OutputKind.ReportReadiness:
        this.#isReady = output.isReady;
        return;
      default:
        assertNever(output);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#listener?.[Symbol.asyncDispose]();
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      requireHeaderCount(request, this.#options.maximumHeaders);
      await this.#route(request, response);
    } catch (error) {
      writeResponse(response, this.#encodeError(error));
    }
  }

  #encodeError(error: unknown): EncodedResponse {
    const { reason, message } = error instanceof RequestError
      ? error
      : new RequestError(RejectionReason.MalformedRequest, String(error));
    this.#emit({ kind: InputKind.RequestRejected, reason });
    return encodeRejection(reason, message);
  }

  #encodeFault(fault: ConnectionFault): EncodedResponse {
    return this.#encodeError(rejectionOf(fault, this.#options));
  }

  async #route(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { route, job } = routeOf(request);
    switch (route) {
      case Route.Alive:
        writeResponse(response, encodeJson(200, { alive: true }));
        return;
      case Route.Ready: {
        const status = this.#isReady ? 200 : 503;
        writeResponse(response, encodeJson(status, { ready: this.#isReady }));
        return;
      }
      case Route.Jobs:
        requireMethod(request, ["POST"]);
        await this.#submit(request, response);
        return;
      case Route.Job:
        requireMethod(request, ["GET", "DELETE"]);
        if (job !== undefined) this.#emitJobRequest(request, response, job);
        return;
      case Route.Unknown:
        throw new RequestError(
          RejectionReason.NotFound,
          `${request.url}: no such path; see docs/API.md`,
        );
      default:
        assertNever(route);
    }
  }

  async #submit(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const team = this.#authenticate(request);
    const idempotencyKey = readIdempotencyKey(request);
    const firstMadeAtEpoch = readEpochToken(request);
    requireJson(request);
    const body = await readBody(request, {
      ...this.#options,
      bodyBudget: this.#bodyBudget,
    });
    const content = { body, idempotencyKey, firstMadeAtEpoch };
    const submission = readSubmission(content, this.#options);
    requireTeam(team, submission.team);
    this.#emit({
      kind: InputKind.SubmissionArrived,
      request: this.#register(response),
      submission,
    });
  }

  #emitJobRequest(
    request: IncomingMessage,
    response: ServerResponse,
    { team, submission }: NamedJob,
  ): void {
    requireTeam(this.#authenticate(request), team);
    const kind = request.method === "DELETE"
      ? InputKind.CancellationRequested as const
      : InputKind.StatusRequested as const;
    this.#emit({ kind, request: this.#register(response), submission });
  }

  /** Returns the team that the caller is bound to; undefined when callers are not bound. */
  #authenticate(request: IncomingMessage): string | undefined {
    if (this.#teamTokens === undefined) return undefined;
    const team = this.#teamTokens.teamOf(request.headers.authorization);
    if (team !== undefined) return team;
    throw new RequestError(
      RejectionReason.Unauthorized,
      "Authorization: send the token of your team as bearer token",
    );
  }

  #register(response: ServerResponse): CallerRequestIdentifier {
    this.#lastRequest += 1;
    const request: CallerRequestIdentifier =
      `${this.#options.self}:${this.#lastRequest}`;
    this.#responses.set(request, response);
    response.once("close", () => {
      if (!this.#responses.delete(request)) return;
      this.#emit({ kind: InputKind.CallerDisconnected, request });
    });
    return request;
  }

  #respond({ request, answer, epochToken }: AnswerCaller): void {
    const response = this.#responses.get(request);
    if (response === undefined) return;
    this.#responses.delete(request);
    const encoded = encodeAnswer(answer);
    writeResponse(response, {
      ...encoded,
      headers: {
        ...encoded.headers,
        "eelgrassfront-epoch": String(epochToken),
      },
    });
  }
}

function routeOf(request: IncomingMessage): RoutedRequest {
  const path = (request.url ?? "").split("?")[0] ?? "";
  switch (path) {
    case "/v1/jobs":
      return { route: Route.Jobs };
    case "/alive":
      return { route: Route.Alive };
    case "/ready":
      return { route: Route.Ready };
    default:
      return routeOfJob(path);
  }
}

function routeOfJob(path: string): RoutedRequest {
  const [, team, key] = JOB_PATH.exec(path) ?? [];
  const isNamed = team !== undefined && key !== undefined &&
    isIdentifier(team) && isIdentifier(key);
  if (!isNamed) return { route: Route.Unknown };
  const submission = submissionIdentifier(team, key);
  return { route: Route.Job, job: { team, submission } };
}

function requireMethod(
  request: IncomingMessage,
  allowed: readonly string[],
): void {
  if (allowed.includes(request.method ?? "")) return;
  throw new RequestError(
    RejectionReason.MethodNotAllowed,
    `${request.method}: allowed here: ${allowed.join(", ")}`,
  );
}

function requireTeam(bound: string | undefined, team: string): void {
  if (bound === undefined || bound === team) return;
  throw new RequestError(
    RejectionReason.TeamNotAllowed,
    `team: the token does not belong to ${team}`,
  );
}

function rejectionOf(
  fault: ConnectionFault,
  options: HttpCallersOptions,
): RequestError {
  switch (fault) {
    case ConnectionFault.TooManyConnections:
      return new RequestError(
        RejectionReason.TooManyConnections,
        `at most ${options.maximumConnections} connections; use fewer, or another entry`,
      );
    case ConnectionFault.HeadersTooLarge:
      return new RequestError(
        RejectionReason.HeadersTooLarge,
        `the headers may have at most ${options.maximumHeaderBytes} bytes`,
      );
    case ConnectionFault.TooSlow:
      return new RequestError(
        RejectionReason.HeadersTooSlow,
        `the headers must arrive within ${options.headersMilliseconds} ms`,
      );
    case ConnectionFault.Malformed:
      return new RequestError(
        RejectionReason.MalformedRequest,
        "not a complete HTTP request",
      );
    default:
      return assertNever(fault);
  }
}
