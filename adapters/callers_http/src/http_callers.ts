/**
 * Callers' HTTP interface of an entry, as `docs/API.md` describes it.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  ConnectionFault,
  type EncodedAnswer,
  encodeJson,
  HttpListener,
  writeAnswer,
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
  requireFewHeaders,
  requireJson,
} from "./request_headers.ts";
import { TeamTokens } from "./team_tokens.ts";

/** Address and limits. */
export interface HttpCallersOptions {
  readonly self: ProcessIdentifier;
  readonly host: string;
  readonly port: number;
  readonly maximumBodyBytes: number;
  /** Bytes that all bodies that are being read may take together. */
  readonly maximumBodiesBytes: number;
  readonly maximumTasks: number;
  readonly maximumDeadlineMilliseconds: Milliseconds;
  readonly maximumConnections: number;
  readonly maximumHeaders: number;
  readonly maximumHeaderBytes: number;
  /** Time in which the headers of a request must have arrived. */
  readonly headersMilliseconds: Milliseconds;
  /** Time in which the body of a request must have arrived after its headers. */
  readonly bodyMilliseconds: Milliseconds;
  /** The token of each team; callers are not bound to a team when left out. */
  readonly teamTokens?: Readonly<Record<string, string>>;
}

/** Paths that callers and balancers use. */
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
/** Time beyond the limits of headers and body after which a request is cut off. */
const CUT_OFF_MILLISECONDS: Milliseconds = 1_000;

/** Callers by HTTP. */
export class HttpCallers implements CallersPort {
  readonly inputs: Stream<CallerInput>;
  readonly #induce: (input: CallerInput) => void;
  readonly #options: HttpCallersOptions;
  readonly #bodyBudget: BodyBudget;
  readonly #teamTokens: TeamTokens | undefined;
  readonly #responses = new Map<CallerRequestIdentifier, ServerResponse>();
  #listener: HttpListener | undefined;
  #lastRequest = 0;
  #isReady = false;

  private constructor(options: HttpCallersOptions) {
    [this.#induce, this.inputs] = createAdapter<CallerInput>();
    this.#options = options;
    this.#bodyBudget = new BodyBudget(options.maximumBodiesBytes);
    this.#teamTokens = options.teamTokens === undefined
      ? undefined
      : new TeamTokens(options.teamTokens);
  }

  /**
   * Listens for callers.
   *
   * @throws when the address cannot be listened on
   */
  static async listen(options: HttpCallersOptions): Promise<HttpCallers> {
    const callers = new HttpCallers(options);
    const { headersMilliseconds, bodyMilliseconds } = options;
    callers.#listener = await HttpListener.listen({
      ...options,
      requestMilliseconds: headersMilliseconds + bodyMilliseconds +
        CUT_OFF_MILLISECONDS,
      serve: (request, response) => void callers.#serve(request, response),
      answerFault: (fault) => callers.#answerFault(fault),
    });
    return callers;
  }

  /** Port on which callers are listened for. */
  get port(): number {
    return this.#listener?.port ?? 0;
  }

  perform(output: AnswerCaller | ReportReadiness): void {
    switch (output.kind) {
      case OutputKind.AnswerCaller:
        this.#answer(output);
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
      requireFewHeaders(request, this.#options.maximumHeaders);
      await this.#route(request, response);
    } catch (error) {
      writeAnswer(response, this.#reject(error));
    }
  }

  #reject(error: unknown): EncodedAnswer {
    const { reason, message } = error instanceof RequestError
      ? error
      : new RequestError(RejectionReason.MalformedRequest, String(error));
    this.#induce({ kind: InputKind.RequestRejected, reason });
    return encodeRejection(reason, message);
  }

  #answerFault(fault: ConnectionFault): EncodedAnswer {
    return this.#reject(rejectionOf(fault, this.#options));
  }

  async #route(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { route, job } = routeOf(request);
    switch (route) {
      case Route.Alive:
        writeAnswer(response, encodeJson(200, { alive: true }));
        return;
      case Route.Ready: {
        const status = this.#isReady ? 200 : 503;
        writeAnswer(response, encodeJson(status, { ready: this.#isReady }));
        return;
      }
      case Route.Jobs:
        requireMethod(request, ["POST"]);
        await this.#submit(request, response);
        return;
      case Route.Job:
        requireMethod(request, ["GET", "DELETE"]);
        if (job !== undefined) this.#ask(request, response, job);
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
    this.#induce({
      kind: InputKind.SubmissionArrived,
      request: this.#await(response),
      submission,
    });
  }

  #ask(
    request: IncomingMessage,
    response: ServerResponse,
    { team, submission }: NamedJob,
  ): void {
    requireTeam(this.#authenticate(request), team);
    const kind = request.method === "DELETE"
      ? InputKind.CancellationRequested as const
      : InputKind.StatusRequested as const;
    this.#induce({ kind, request: this.#await(response), submission });
  }

  /** The team to which the caller is bound; undefined when callers are not bound. */
  #authenticate(request: IncomingMessage): string | undefined {
    if (this.#teamTokens === undefined) return undefined;
    const team = this.#teamTokens.teamOf(request.headers.authorization);
    if (team !== undefined) return team;
    throw new RequestError(
      RejectionReason.Unauthorized,
      "Authorization: give the token of your team as bearer token",
    );
  }

  #await(response: ServerResponse): CallerRequestIdentifier {
    this.#lastRequest += 1;
    const request: CallerRequestIdentifier =
      `${this.#options.self}:${this.#lastRequest}`;
    this.#responses.set(request, response);
    response.once("close", () => {
      if (!this.#responses.delete(request)) return;
      this.#induce({ kind: InputKind.CallerDisconnected, request });
    });
    return request;
  }

  #answer({ request, answer, epochToken }: AnswerCaller): void {
    const response = this.#responses.get(request);
    if (response === undefined) return;
    this.#responses.delete(request);
    const encoded = encodeAnswer(answer);
    writeAnswer(response, {
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

function requireTeam(bound: string | undefined, named: string): void {
  if (bound === undefined || bound === named) return;
  throw new RequestError(
    RejectionReason.TeamNotAllowed,
    `team: the token given is not that of ${named}`,
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
        "this is no whole HTTP request",
      );
    default:
      return assertNever(fault);
  }
}
