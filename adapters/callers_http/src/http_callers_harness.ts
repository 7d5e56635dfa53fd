/**
 * Test harness: a callers' interface on loopback that completes each submission immediately, and plain
 * sockets to it.
 */
import { connect, type Socket } from "node:net";
import {
  CallerAnswerKind,
  type CallerInput,
  InputKind,
  JobOutcomeKind,
  OutputKind,
  processIdentifier,
  type SubmissionArrived,
} from "@eelgrassfront/model";
import { runEffects, tap } from "@most/core";
import { newDefaultScheduler } from "@most/scheduler";
import { HttpCallers, type HttpCallersOptions } from "./http_callers.ts";

export const BODY = {
  team: "assessors",
  kindOfWork: "check",
  idempotent: true,
  deadlineMilliseconds: 1_000,
  tasks: [{ payload: { ingredient: 1, share: 0.5 } }],
};
export const JSON_TYPE = "Content-Type: application/json";
export const KEY = "Idempotency-Key: key-1";

/** A callers' interface that completes each submission immediately. */
export class CallersHarness implements AsyncDisposable {
  readonly inputs: CallerInput[] = [];
  readonly callers: HttpCallers;
  #onInput: (input: CallerInput) => void = () => {};

  private constructor(callers: HttpCallers) {
    this.callers = callers;
    const effects = tap((input) => this.#receive(input), callers.inputs);
    void runEffects(effects, newDefaultScheduler());
  }

  static async start(
    options: Partial<HttpCallersOptions> = {},
  ): Promise<CallersHarness> {
    return new CallersHarness(
      await HttpCallers.listen({
        self: processIdentifier("entry-0", "a"),
        host: "127.0.0.1",
        port: 0,
        maximumBodyBytes: 4_096,
        maximumBodiesBytes: 8_192,
        maximumTasks: 2,
        maximumDeadlineMilliseconds: 60_000,
        maximumConnections: 8,
        maximumHeaders: 8,
        maximumHeaderBytes: 1_024,
        headersMilliseconds: 5_000,
        bodyMilliseconds: 5_000,
        ...options,
      }),
    );
  }

  get submissions(): readonly SubmissionArrived[] {
    return this.inputs.filter((input) =>
      input.kind === InputKind.SubmissionArrived
    );
  }

  /** Waits for the next input of a kind. */
  awaitInput(kind: InputKind): Promise<void> {
    return new Promise((resolve) => {
      this.#onInput = (input) => {
        if (input.kind === kind) resolve();
      };
    });
  }

  /** Sends text on a new connection and reads the response until the connection is closed. */
  async send(text: string): Promise<Reply> {
    const socket = this.connect();
    socket.write(text);
    return parseReply(await readAll(socket));
  }

  connect(): Socket {
    return connect(this.callers.port, "127.0.0.1");
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.callers[Symbol.asyncDispose]();
  }

  #receive(input: CallerInput): void {
    this.inputs.push(input);
    this.#onInput(input);
    if (input.kind !== InputKind.SubmissionArrived) return;
    if (input.submission.kindOfWork === "never-answered") return;
    this.callers.perform({
      kind: OutputKind.AnswerCaller,
      request: input.request,
      answer: {
        kind: CallerAnswerKind.Outcome,
        outcome: { kind: JobOutcomeKind.Completed, results: ["1"] },
      },
      epochToken: 3,
    });
  }
}

interface Reply {
  readonly status: number;
  readonly reason: unknown;
}

export function readAll(socket: Socket): Promise<string> {
  return new Promise((resolve) => {
    let text = "";
    socket.on("data", (chunk: Buffer) => {
      text += chunk.toString("utf8");
    });
    socket.on("error", () => {});
    socket.on("close", () => resolve(text));
  });
}

export function parseReply(text: string): Reply {
  const [head = "", body = ""] = text.split("\r\n\r\n");
  const status = Number(head.split(" ")[1]);
  const answer: { readonly reason?: unknown } = body === ""
    ? {}
    : JSON.parse(body);
  return { status, reason: answer.reason };
}

interface Message {
  readonly start?: string;
  readonly headers?: readonly string[];
  readonly body?: string;
  readonly length?: number;
}

/** One HTTP request as text, with a header that closes the connection. */
export function message(options: Message = {}): string {
  const {
    start = "POST /v1/jobs",
    headers = [KEY, JSON_TYPE],
    body = JSON.stringify(BODY),
    length = Buffer.byteLength(body),
  } = options;
  return [
    `${start} HTTP/1.1`,
    "Host: entry",
    "Connection: close",
    `Content-Length: ${length}`,
    ...headers,
    "",
    body,
  ].join("\r\n");
}

export function withBody(changes: object): string {
  return JSON.stringify({ ...BODY, ...changes });
}
