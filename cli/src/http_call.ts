/**
 * HTTP calls to processes. Errors name the step and the peer.
 */
import { ErrorTag, type ProcessError, type Step } from "@eelgrassfront/model";
import { errors, request } from "undici";
import { CallError } from "./tool_error.ts";

/** One call. */
export interface HttpCall {
  readonly step: Step;
  /** Address of the process, as host:port. */
  readonly peer: string;
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
}

/** Response of a process. */
export interface HttpAnswer {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
  /** Value of the header `Eelgrassfront-Epoch`, if present. */
  readonly epoch: string | undefined;
}

/**
 * Calls a process and parses its JSON response.
 *
 * @throws {CallError} when there is no response, or its body is not a JSON object
 */
export async function call(options: HttpCall): Promise<HttpAnswer> {
  const { status, text, epoch } = await send(options);
  try {
    const body: unknown = JSON.parse(text);
    if (typeof body === "object" && body !== null) {
      return { status, body: { ...body }, epoch };
    }
  } catch {
    // Reported below, together with JSON that is not an object.
  }
  throw errorAt(
    options,
    ErrorTag.InvalidAnswer,
    `status ${status}, not a JSON object`,
  );
}

/** Returns the header that carries a token, if there is a token. */
export function tokenHeaders(
  token: string | undefined,
): Readonly<Record<string, string>> {
  return token === undefined ? {} : { authorization: `Bearer ${token}` };
}

interface RawAnswer {
  readonly status: number;
  readonly text: string;
  readonly epoch: string | undefined;
}

async function send(options: HttpCall): Promise<RawAnswer> {
  const { peer, method, path, headers = {}, body = null } = options;
  try {
    const response = await request(`http://${peer}${path}`, {
      method,
      headers,
      body,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const epoch = response.headers["eelgrassfront-epoch"];
    return {
      status: response.statusCode,
      text: await response.body.text(),
      epoch: typeof epoch === "string" ? epoch : undefined,
    };
  } catch (error) {
    throw errorAt(options, tagOf(error), describe(error));
  }
}

function errorAt(
  { step, peer }: HttpCall,
  tag: ProcessError["tag"],
  detail: string,
): CallError {
  return new CallError({ tag, step, peer, detail });
}

function tagOf(error: unknown): ErrorTag {
  if (error instanceof errors.ConnectTimeoutError) return ErrorTag.Unreachable;
  const code = error instanceof Error && "code" in error ? error.code : "";
  switch (code) {
    case "ECONNREFUSED":
    case "EHOSTUNREACH":
    case "ENETUNREACH":
    case "ENOTFOUND":
    case "ERR_INVALID_URL":
      return ErrorTag.Unreachable;
    default:
      return ErrorTag.ConnectionLost;
  }
}

function describe(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
