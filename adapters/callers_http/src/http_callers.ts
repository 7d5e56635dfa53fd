/**
 * Callers' HTTP interface of an entry, as `docs/API.md` describes it.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
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
import {
  encodeAnswer,
  type EncodedAnswer,
  encodeRejection,
} from "./answer_encoding.ts";
import { readBody } from "./body_reader.ts";
import { isIdentifier, readSubmission, RequestError } from "./job_request.ts";

/** Address and limits. */
export interface HttpCallersOptions {
  readonly self: ProcessIdentifier;
  readonly host: string;
  readonly port: number;
  readonly maximumBodyBytes: number;
  readonly maximumTasks: number;
  readonly maximumConnections: number;
  /** Time in which a request must have arrived whole. */
  readonly bodyMilliseconds: Milliseconds;
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
  readonly submission?: SubmissionIdentifier;
}

const JOB_PATH = /^\/v1\/jobs\/([^/]+)\/([^/]+)$/;
const CLOSE_MILLISECONDS = 500;

/** Callers by HTTP. */
export class HttpCallers implements CallersPort {
  readonly inputs: Stream<CallerInput>;
  readonly #induce: (input: CallerInput) => void;
  readonly #options: HttpCallersOptions;
  readonly #server: Server;
  readonly #responses = new Map<CallerRequestIdentifier, ServerResponse>();
  #lastRequest = 0;
  #isReady = false;

  private constructor(options: HttpCallersOptions) {
    [this.#induce, this.inputs] = createAdapter<CallerInput>();
    this.#options = options;
    this.#server = createServer(
      { requestTimeout: options.bodyMilliseconds },
      (request, response) => void this.#serve(request, response),
    );
    this.#server.maxConnections = options.maximumConnections;
  }

  /**
   * Listens for callers.
   *
   * @throws when the address cannot be listened on
   */
  static async listen(options: HttpCallersOptions): Promise<HttpCallers> {
    const callers = new HttpCallers(options);
    await new Promise<void>((resolve, reject) => {
      callers.#server.once("error", reject);
      callers.#server.listen(options.port, options.host, resolve);
    });
    return callers;
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
    const closed = new Promise((resolve) => this.#server.close(resolve));
    this.#server.closeIdleConnections();
    const limit = setTimeout(
      () => this.#server.closeAllConnections(),
      CLOSE_MILLISECONDS,
    );
    await closed;
    clearTimeout(limit);
  }

  async #serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      await this.#route(request, response);
    } catch (error) {
      write(response, encodeError(error));
    }
  }

  async #route(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { route, submission } = routeOf(request);
    switch (route) {
      case Route.Alive:
        write(response, { status: 200, headers: {}, body: "{}" });
        return;
      case Route.Ready: {
        const status = this.#isReady ? 200 : 503;
        const body = JSON.stringify({ ready: this.#isReady });
        write(response, { status, headers: {}, body });
        return;
      }
      case Route.Jobs:
        requireMethod(request, ["POST"]);
        await this.#submit(request, response);
        return;
      case Route.Job:
        requireMethod(request, ["GET", "DELETE"]);
        if (submission !== undefined) {
          this.#ask(request, response, submission);
        }
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
    const idempotencyKey = readIdempotencyKey(request);
    const body = await readBody(request, this.#options);
    const submission = readSubmission({
      body,
      idempotencyKey,
      epochToken: headerOf(request, "eelgrassfront-epoch"),
    }, this.#options);
    this.#induce({
      kind: InputKind.SubmissionArrived,
      request: this.#await(response),
      submission,
    });
  }

  #ask(
    request: IncomingMessage,
    response: ServerResponse,
    submission: SubmissionIdentifier,
  ): void {
    const kind = request.method === "DELETE"
      ? InputKind.CancellationAsked as const
      : InputKind.StandingAsked as const;
    this.#induce({ kind, request: this.#await(response), submission });
  }

  #await(response: ServerResponse): CallerRequestIdentifier {
    this.#lastRequest += 1;
    const request: CallerRequestIdentifier =
      `${this.#options.self}:${this.#lastRequest}`;
    this.#responses.set(request, response);
    response.once("close", () => {
      if (!this.#responses.delete(request)) return;
      this.#induce({ kind: InputKind.CallerGone, request });
    });
    return request;
  }

  #answer({ request, answer, epochToken }: AnswerCaller): void {
    const response = this.#responses.get(request);
    if (response === undefined) return;
    this.#responses.delete(request);
    const encoded = encodeAnswer(answer);
    write(response, {
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
  return { route: Route.Job, submission: submissionIdentifier(team, key) };
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

function readIdempotencyKey(request: IncomingMessage): string {
  const key = headerOf(request, "idempotency-key");
  if (key === undefined) {
    throw new RequestError(
      RejectionReason.MissingIdempotencyKey,
      "Idempotency-Key: give a key that names this submission",
    );
  }
  if (isIdentifier(key)) return key;
  throw new RequestError(
    RejectionReason.InvalidIdempotencyKey,
    "Idempotency-Key: 1 to 128 letters, digits, dots, underscores or dashes",
  );
}

function headerOf(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value.join() : value;
}

function encodeError(error: unknown): EncodedAnswer {
  if (error instanceof RequestError) {
    return encodeRejection(error.reason, error.message);
  }
  return encodeRejection(RejectionReason.MalformedBody, String(error));
}

function write(response: ServerResponse, encoded: EncodedAnswer): void {
  if (response.headersSent || response.destroyed) return;
  const isCutShort = !response.req.complete;
  response.writeHead(encoded.status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(encoded.body),
    ...(isCutShort ? { connection: "close" } : {}),
    ...encoded.headers,
  });
  response.end(encoded.body);
}
