/**
 * Callers' HTTP over real connections: every faulty request gets its reason, and answers reach their
 * callers.
 */
import { connect, type Socket } from "node:net";
import { describe, it } from "node:test";
import {
  CallerAnswerKind,
  type CallerInput,
  InputKind,
  JobOutcomeKind,
  OutputKind,
  processIdentifier,
  RejectionReason,
  type SubmissionArrived,
} from "@eelgrassfront/model";
import { runEffects, tap } from "@most/core";
import { newDefaultScheduler } from "@most/scheduler";
import { expect } from "earl";
import { HttpCallers, type HttpCallersOptions } from "./http_callers.ts";

const BODY = {
  team: "assessors",
  kindOfWork: "check",
  idempotent: true,
  deadlineMilliseconds: 1_000,
  tasks: [{ payload: { ingredient: 1, share: 0.5 } }],
};
const JSON_TYPE = "Content-Type: application/json";
const KEY = "Idempotency-Key: key-1";

/** A callers' interface whose submissions are completed at once. */
class Rig implements AsyncDisposable {
  readonly inputs: CallerInput[] = [];
  readonly callers: HttpCallers;
  #onInput: (input: CallerInput) => void = () => {};

  private constructor(callers: HttpCallers) {
    this.callers = callers;
    const effects = tap((input) => this.#take(input), callers.inputs);
    void runEffects(effects, newDefaultScheduler());
  }

  static async start(options: Partial<HttpCallersOptions> = {}): Promise<Rig> {
    return new Rig(
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

  /** Sends text on a new connection and reads what comes until it is closed. */
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

  #take(input: CallerInput): void {
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

function readAll(socket: Socket): Promise<string> {
  return new Promise((resolve) => {
    let text = "";
    socket.on("data", (chunk: Buffer) => {
      text += chunk.toString("utf8");
    });
    socket.on("error", () => {});
    socket.on("close", () => resolve(text));
  });
}

function parseReply(text: string): Reply {
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

/** One HTTP request as text, after which the server is asked to close. */
function message(options: Message = {}): string {
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

function withBody(changes: object): string {
  return JSON.stringify({ ...BODY, ...changes });
}

interface Case {
  readonly title: string;
  readonly text: string;
  readonly status: number;
  readonly reason: RejectionReason;
}

const REJECTED: readonly Case[] = [
  {
    title: "a body that announces too much",
    text: message({ body: "", length: 5_000 }),
    status: 413,
    reason: RejectionReason.BodyTooLarge,
  },
  {
    title: "a chunked body that grows too large",
    text: [
      "POST /v1/jobs HTTP/1.1",
      "Host: entry",
      "Connection: close",
      KEY,
      JSON_TYPE,
      "Transfer-Encoding: chunked",
      "",
      "1400",
      "x".repeat(0x14_00),
      "0",
      "",
      "",
    ].join("\r\n"),
    status: 413,
    reason: RejectionReason.BodyTooLarge,
  },
  {
    title: "a body that is no JSON",
    text: message({ body: '{"team": ' }),
    status: 400,
    reason: RejectionReason.MalformedBody,
  },
  {
    title: "an empty body",
    text: message({ body: "" }),
    status: 400,
    reason: RejectionReason.MalformedBody,
  },
  {
    title: "a field that stands twice",
    text: message({
      body: JSON.stringify(BODY).replace("{", '{"team":"others",'),
    }),
    status: 400,
    reason: RejectionReason.DuplicateField,
  },
  {
    title: "a field that stands twice in a payload",
    text: message({
      body: JSON.stringify(BODY).replace(
        '"share":0.5',
        '"share":0.5,"share":0.6',
      ),
    }),
    status: 400,
    reason: RejectionReason.DuplicateField,
  },
  {
    title: "a number that would lose digits",
    text: message({
      body: JSON.stringify(BODY).replace("0.5", "12345678901234567890"),
    }),
    status: 400,
    reason: RejectionReason.MalformedBody,
  },
  {
    title: "an unknown field",
    text: message({ body: withBody({ priority: 1 }) }),
    status: 422,
    reason: RejectionReason.InvalidField,
  },
  {
    title: "a deadline that is no number",
    text: message({ body: withBody({ deadlineMilliseconds: "1s" }) }),
    status: 422,
    reason: RejectionReason.InvalidField,
  },
  {
    title: "a deadline beyond the limit",
    text: message({ body: withBody({ deadlineMilliseconds: 60_001 }) }),
    status: 422,
    reason: RejectionReason.InvalidField,
  },
  {
    title: "no tasks",
    text: message({ body: withBody({ tasks: [] }) }),
    status: 422,
    reason: RejectionReason.InvalidField,
  },
  {
    title: "too many tasks",
    text: message({
      body: withBody({
        tasks: [{ payload: 1 }, { payload: 2 }, { payload: 3 }],
      }),
    }),
    status: 413,
    reason: RejectionReason.TooManyTasks,
  },
  {
    title: "no idempotency key",
    text: message({ headers: [JSON_TYPE] }),
    status: 400,
    reason: RejectionReason.MissingIdempotencyKey,
  },
  {
    title: "an idempotency key that is no identifier",
    text: message({ headers: [JSON_TYPE, "Idempotency-Key: a/b"] }),
    status: 400,
    reason: RejectionReason.InvalidIdempotencyKey,
  },
  {
    title: "two idempotency keys",
    text: message({ headers: [JSON_TYPE, KEY, "idempotency-key: key-2"] }),
    status: 400,
    reason: RejectionReason.InvalidIdempotencyKey,
  },
  {
    title: "the same idempotency key twice",
    text: message({ headers: [JSON_TYPE, KEY, KEY] }),
    status: 400,
    reason: RejectionReason.InvalidIdempotencyKey,
  },
  {
    title: "an epoch token that this system never gave",
    text: message({ headers: [JSON_TYPE, KEY, "Eelgrassfront-Epoch: -1"] }),
    status: 422,
    reason: RejectionReason.InvalidField,
  },
  {
    title: "a content type other than JSON",
    text: message({ headers: [KEY, "Content-Type: text/plain"] }),
    status: 415,
    reason: RejectionReason.UnsupportedContentType,
  },
  {
    title: "a compressed body",
    text: message({ headers: [KEY, JSON_TYPE, "Content-Encoding: gzip"] }),
    status: 415,
    reason: RejectionReason.UnsupportedContentType,
  },
  {
    title: "an unknown path",
    text: message({ start: "GET /v1/other" }),
    status: 404,
    reason: RejectionReason.NotFound,
  },
  {
    title: "a job whose team is no identifier",
    text: message({ start: "GET /v1/jobs/a%2Fb/key" }),
    status: 404,
    reason: RejectionReason.NotFound,
  },
  {
    title: "an unknown method",
    text: message({ start: "PUT /v1/jobs" }),
    status: 405,
    reason: RejectionReason.MethodNotAllowed,
  },
  {
    title: "too many headers",
    text: message({
      headers: Array.from({ length: 6 }, (_, index) => `X-${index}: 1`),
    }),
    status: 431,
    reason: RejectionReason.HeadersTooLarge,
  },
  {
    title: "headers that are too large",
    text: message({ headers: [`X-Long: ${"x".repeat(2_000)}`] }),
    status: 431,
    reason: RejectionReason.HeadersTooLarge,
  },
  {
    title: "what is no HTTP",
    text: "hello\r\n\r\n",
    status: 400,
    reason: RejectionReason.MalformedRequest,
  },
  {
    title: "a length that is no number",
    text: message().replace(/Content-Length: \d+/, "Content-Length: many"),
    status: 400,
    reason: RejectionReason.MalformedRequest,
  },
];

describe("HttpCallers", () => {
  for (const { title, text, status, reason } of REJECTED) {
    it(`rejects ${title} as ${reason}`, async () => {
      await using rig = await Rig.start();
      expect(await rig.send(text)).toEqual({ status, reason });
      expect(rig.inputs).toEqual([{ kind: InputKind.RequestRejected, reason }]);
    });
  }

  it("rejects a body that is no UTF-8", async () => {
    await using rig = await Rig.start();
    const socket = rig.connect();
    socket.write(message({ body: "", length: 2 }));
    socket.write(Buffer.from([0xc3, 0x28]));
    expect(parseReply(await readAll(socket))).toEqual({
      status: 400,
      reason: RejectionReason.MalformedBody,
    });
  });

  it("rejects a body that does not arrive in time", async () => {
    await using rig = await Rig.start({ bodyMilliseconds: 50 });
    const reply = await rig.send(message({ body: "{", length: 100 }));
    expect(reply).toEqual({
      status: 408,
      reason: RejectionReason.BodyTooSlow,
    });
    expect(rig.submissions).toEqual([]);
  });

  it("rejects headers that do not arrive in time", async () => {
    await using rig = await Rig.start({ headersMilliseconds: 50 });
    const reply = await rig.send("POST /v1/jobs HTTP/1.1\r\nHost: e");
    expect(reply).toEqual({
      status: 408,
      reason: RejectionReason.HeadersTooSlow,
    });
  });

  it("takes nothing from a body that is cut short", async () => {
    await using rig = await Rig.start();
    const rejected = rig.awaitInput(InputKind.RequestRejected);
    const socket = rig.connect();
    socket.write(message({ length: 1_000 }), () => socket.resetAndDestroy());
    await rejected;
    expect(rig.submissions).toEqual([]);
  });

  it("rejects a connection too many", async () => {
    await using rig = await Rig.start({ maximumConnections: 1 });
    const first = rig.connect();
    await new Promise((resolve) => first.once("connect", resolve));
    const reply = await rig.send(message());
    expect(reply).toEqual({
      status: 429,
      reason: RejectionReason.TooManyConnections,
    });
    expect(rig.submissions).toEqual([]);
    first.destroy();
  });

  it("bounds the memory of all bodies together, and gives it back", async () => {
    await using rig = await Rig.start({ maximumBodiesBytes: 4_096 });
    const rejected = rig.awaitInput(InputKind.RequestRejected);
    const text = message({ body: "x".repeat(3_000), length: 4_000 });
    const sockets = [rig.connect(), rig.connect()];
    for (const socket of sockets) socket.write(text);
    await rejected;
    expect(rig.inputs).toEqual([{
      kind: InputKind.RequestRejected,
      reason: RejectionReason.EntryBusy,
    }]);
    const bothEnded = sockets.map((socket) => readAll(socket));
    for (const socket of sockets) socket.end("x".repeat(1_000));
    await Promise.all(bothEnded);
    expect((await rig.send(message())).status).toEqual(200);
  });

  it("answers a submission", async () => {
    await using rig = await Rig.start();
    expect((await rig.send(message())).status).toEqual(200);
    expect(rig.submissions.length).toEqual(1);
  });

  it("tells the decisions that a caller went away", async () => {
    await using rig = await Rig.start();
    const arrived = rig.awaitInput(InputKind.SubmissionArrived);
    const socket = rig.connect();
    socket.write(message({ body: withBody({ kindOfWork: "never-answered" }) }));
    await arrived;
    const gone = rig.awaitInput(InputKind.CallerGone);
    socket.destroy();
    await gone;
    expect(rig.inputs.at(-1)).toEqual({
      kind: InputKind.CallerGone,
      request: "entry-0~a:1",
    });
  });

  it("gives one digest whatever the order of keys, and another for other content", async () => {
    await using rig = await Rig.start();
    const { team, ...others } = BODY;
    const payload = { share: 0.5, ingredient: 1 };
    await rig.send(message());
    await rig.send(message({ body: JSON.stringify({ ...others, team }) }));
    await rig.send(message({ body: withBody({ tasks: [{ payload }] }) }));
    await rig.send(message({ body: withBody({ tasks: [{ payload: 1 }] }) }));
    const digests = rig.submissions.map(({ submission }) => submission.digest);
    expect(new Set(digests.slice(0, 3)).size).toEqual(1);
    expect(digests[3]).not.toEqual(digests[0]);
  });
});

describe("HttpCallers with tokens of teams", () => {
  const teamTokens = { assessors: "token-a", handlers: "token-b" };
  const authorized = (token: string) => [
    KEY,
    JSON_TYPE,
    `Authorization: Bearer ${token}`,
  ];

  it("takes a submission with the token of its team", async () => {
    await using rig = await Rig.start({ teamTokens });
    const reply = await rig.send(message({ headers: authorized("token-a") }));
    expect(reply.status).toEqual(200);
  });

  it("rejects a request without a token or with an unknown one", async () => {
    await using rig = await Rig.start({ teamTokens });
    for (const headers of [[KEY, JSON_TYPE], authorized("token-c")]) {
      expect(await rig.send(message({ headers }))).toEqual({
        status: 401,
        reason: RejectionReason.Unauthorized,
      });
    }
    expect(rig.submissions).toEqual([]);
  });

  it("rejects what is in the name of another team", async () => {
    await using rig = await Rig.start({ teamTokens });
    const headers = authorized("token-b");
    const starts = [
      "POST /v1/jobs",
      "GET /v1/jobs/assessors/key-1",
      "DELETE /v1/jobs/assessors/key-1",
    ];
    for (const start of starts) {
      expect(await rig.send(message({ start, headers }))).toEqual({
        status: 403,
        reason: RejectionReason.TeamNotAllowed,
      });
    }
    expect(rig.inputs.map(({ kind }) => kind)).toEqual(
      starts.map(() => InputKind.RequestRejected),
    );
  });
});
