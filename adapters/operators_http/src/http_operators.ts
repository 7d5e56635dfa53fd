/**
 * HTTP interface of every process for operators, documented in `docs/API.md`. The health probes need no
 * token; the report and the drain do.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  ConnectionFault,
  type EncodedResponse,
  encodeJson,
  hasBearerToken,
  HttpListener,
  writeResponse,
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

/** Address and token of the interface. */
export interface HttpOperatorsOptions {
  readonly host: string;
  readonly port: number;
  /** Bearer token that the report and the drain require. */
  readonly token: string;
}

/** Method and path of each route. */
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

/** Serves operators over HTTP. */
export class HttpOperators implements OperatorsPort {
  readonly inputs: Stream<OperatorInput>;
  readonly #emit: (input: OperatorInput) => void;
  readonly #token: string;
  readonly #responses = new Map<number, ServerResponse>();
  #listener: HttpListener | undefined;
  #lastRequest = 0;
  #isReady = false;

  private constructor(token: string) {
    [this.#emit, this.inputs] = createAdapter<OperatorInput>();
    this.#token = token;
  }

  /**
   * Starts to serve operators.
   *
   * @throws when the server cannot listen on the address
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
      encodeFault: encodeConnectionFault,
    });
    return operators;
  }

  /** Port that the interface listens on. */
  get port(): number {
    return this.#listener?.port ?? 0;
  }

  perform(output: AnswerOperator | ReportReadiness): void {
    switch (output.kind) {
      case OutputKind.AnswerOperator: {
        const response = this.#responses.get(output.request);
        this.#responses.delete(output.request);
        if (response === undefined) return;
        writeResponse(response, encodeJson(200, output.report));
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
        writeResponse(response, encodeRouteRejection(request));
        return;
      case Route.Alive:
        writeResponse(response, encodeJson(200, { alive: true }));
        return;
      case Route.Ready: {
        const status = this.#isReady ? 200 : 503;
        writeResponse(response, encodeJson(status, { ready: this.#isReady }));
        return;
      }
      case Route.Report:
        if (this.#isAuthorized(request, response)) this.#report(response);
        return;
      case Route.Drain:
        if (!this.#isAuthorized(request, response)) return;
        writeResponse(response, encodeJson(202, { draining: true }));
        this.#emit({ kind: InputKind.DrainRequested });
        return;
      default:
        assertNever(route);
    }
  }

  #isAuthorized(request: IncomingMessage, response: ServerResponse): boolean {
    if (hasBearerToken(request, this.#token)) return true;
    writeResponse(
      response,
      encodeRejection(
        401,
        "unauthorized",
        "send the operators' token as bearer token",
      ),
    );
    return false;
  }

  #report(response: ServerResponse): void {
    this.#lastRequest += 1;
    const request = this.#lastRequest;
    this.#responses.set(request, response);
    response.once("close", () => this.#responses.delete(request));
    this.#emit({ kind: InputKind.ReportRequested, request });
  }
}

function routeOf(request: IncomingMessage): Route | undefined {
  return ROUTES.find((route) => route === `${request.method} ${request.url}`);
}

function encodeRouteRejection(
  { method, url }: IncomingMessage,
): EncodedResponse {
  const isKnownPath = ROUTES.some((route) => route.endsWith(` ${url}`));
  const detail = `${method} ${url}: allowed: ${ROUTES.join(", ")}`;
  return isKnownPath
    ? encodeRejection(405, "method-not-allowed", detail)
    : encodeRejection(404, "not-found", detail);
}

function encodeConnectionFault(fault: ConnectionFault): EncodedResponse {
  switch (fault) {
    case ConnectionFault.TooManyConnections:
      return encodeRejection(429, fault, "close unused connections");
    case ConnectionFault.HeadersTooLarge:
      return encodeRejection(
        431,
        fault,
        `at most ${MAXIMUM_HEADER_BYTES} bytes`,
      );
    case ConnectionFault.TooSlow:
      return encodeRejection(408, fault, `allowed: ${REQUEST_MILLISECONDS} ms`);
    case ConnectionFault.Malformed:
      return encodeRejection(400, fault, "not a valid HTTP request");
    default:
      return assertNever(fault);
  }
}

function encodeRejection(
  status: number,
  reason: string,
  detail: string,
): EncodedResponse {
  return encodeJson(status, { outcome: "rejected", reason, detail });
}
