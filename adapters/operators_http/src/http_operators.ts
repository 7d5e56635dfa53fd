/**
 * Operators' HTTP interface of every process, as `docs/API.md` describes it: probes without a token,
 * the report and the drain with one.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  ConnectionFault,
  type EncodedAnswer,
  encodeJson,
  HttpListener,
  presentsToken,
  writeAnswer,
} from "@eelgrassfront/http-server";
import {
  type AnswerOperator,
  assertNever,
  InputKind,
  type Milliseconds,
  type OperatorInput,
  OutputKind,
  type ReportReadiness,
} from "@eelgrassfront/model";
import type { OperatorsPort } from "@eelgrassfront/ports";
import { createAdapter } from "@most/adapter";
import type { Stream } from "@most/types";

/** Address and token. */
export interface HttpOperatorsOptions {
  readonly host: string;
  readonly port: number;
  /** Bearer token that the report and the drain need. */
  readonly token: string;
}

/** What operators ask for. */
enum Route {
  Alive = "GET /alive",
  Ready = "GET /ready",
  Report = "GET /report",
  Drain = "POST /drain",
}

const MAXIMUM_CONNECTIONS = 64;
const MAXIMUM_HEADER_BYTES = 16 * 1_024;
const REQUEST_MILLISECONDS: Milliseconds = 5_000;
const ROUTES: readonly Route[] = Object.values(Route);

/** Operators by HTTP. */
export class HttpOperators implements OperatorsPort {
  readonly inputs: Stream<OperatorInput>;
  readonly #induce: (input: OperatorInput) => void;
  readonly #token: string;
  readonly #responses = new Map<number, ServerResponse>();
  #listener: HttpListener | undefined;
  #lastRequest = 0;
  #isReady = false;

  private constructor(token: string) {
    [this.#induce, this.inputs] = createAdapter<OperatorInput>();
    this.#token = token;
  }

  /**
   * Listens for operators.
   *
   * @throws when the address cannot be listened on
   */
  static async listen(options: HttpOperatorsOptions): Promise<HttpOperators> {
    const operators = new HttpOperators(options.token);
    operators.#listener = await HttpListener.listen({
      host: options.host,
      port: options.port,
      maximumConnections: MAXIMUM_CONNECTIONS,
      maximumHeaderBytes: MAXIMUM_HEADER_BYTES,
      headersMilliseconds: REQUEST_MILLISECONDS,
      requestMilliseconds: REQUEST_MILLISECONDS,
      serve: (request, response) => operators.#serve(request, response),
      answerFault: refuseConnection,
    });
    return operators;
  }

  /** Port on which operators are listened for. */
  get port(): number {
    return this.#listener?.port ?? 0;
  }

  perform(output: AnswerOperator | ReportReadiness): void {
    switch (output.kind) {
      case OutputKind.AnswerOperator: {
        const response = this.#responses.get(output.request);
        this.#responses.delete(output.request);
        if (response === undefined) return;
        writeAnswer(response, encodeJson(200, output.report));
        return;
      }
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

  #serve(request: IncomingMessage, response: ServerResponse): void {
    request.resume();
    const route = routeOf(request);
    switch (route) {
      case undefined:
        writeAnswer(response, refuseRoute(request));
        return;
      case Route.Alive:
        writeAnswer(response, encodeJson(200, { alive: true }));
        return;
      case Route.Ready: {
        const status = this.#isReady ? 200 : 503;
        writeAnswer(response, encodeJson(status, { ready: this.#isReady }));
        return;
      }
      case Route.Report:
        if (this.#isAuthorized(request, response)) this.#report(response);
        return;
      case Route.Drain:
        if (!this.#isAuthorized(request, response)) return;
        writeAnswer(response, encodeJson(202, { draining: true }));
        this.#induce({ kind: InputKind.DrainRequested });
        return;
      default:
        assertNever(route);
    }
  }

  #isAuthorized(request: IncomingMessage, response: ServerResponse): boolean {
    if (presentsToken(request, this.#token)) return true;
    writeAnswer(
      response,
      refuse(401, "unauthorized", "give the operators' token as bearer token"),
    );
    return false;
  }

  #report(response: ServerResponse): void {
    this.#lastRequest += 1;
    const request = this.#lastRequest;
    this.#responses.set(request, response);
    response.once("close", () => this.#responses.delete(request));
    this.#induce({ kind: InputKind.ReportRequested, request });
  }
}

function routeOf(request: IncomingMessage): Route | undefined {
  return ROUTES.find((route) => route === `${request.method} ${request.url}`);
}

function refuseRoute({ method, url }: IncomingMessage): EncodedAnswer {
  const isPath = ROUTES.some((route) => route.endsWith(` ${url}`));
  const detail = `${method} ${url}: allowed: ${ROUTES.join(", ")}`;
  return isPath
    ? refuse(405, "method-not-allowed", detail)
    : refuse(404, "not-found", detail);
}

function refuseConnection(fault: ConnectionFault): EncodedAnswer {
  switch (fault) {
    case ConnectionFault.TooManyConnections:
      return refuse(429, fault, "close connections that are not needed");
    case ConnectionFault.HeadersTooLarge:
      return refuse(431, fault, `at most ${MAXIMUM_HEADER_BYTES} bytes`);
    case ConnectionFault.TooSlow:
      return refuse(408, fault, `allowed: ${REQUEST_MILLISECONDS} ms`);
    case ConnectionFault.Malformed:
      return refuse(400, fault, "this is no HTTP request");
    default:
      return assertNever(fault);
  }
}

function refuse(
  status: number,
  reason: string,
  detail: string,
): EncodedAnswer {
  return encodeJson(status, { outcome: "rejected", reason, detail });
}
