/**
 * Checks over real connections that every invalid request is rejected with its reason, and that answers
 * reach their callers.
 */
import { describe, it } from "node:test";
import { InputKind, RejectionReason } from "@eelgrassfront/model";
import { expect } from "earl";
import {
  BODY,
  CallersHarness,
  JSON_TYPE,
  KEY,
  message,
  parseReply,
  readAll,
  withBody,
} from "./http_callers_harness.ts";

interface Case {
  readonly title: string;
  readonly text: string;
  readonly status: number;
  readonly reason: RejectionReason;
}

const REJECTED: readonly Case[] = [
  {
    title: "a body whose declared length is too large",
    text: message({ body: "", length: 5_000 }),
    status: 413,
    reason: RejectionReason.BodyTooLarge,
  },
  {
    title: "a chunked body that becomes too large",
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
    title: "a body that is not JSON",
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
    title: "a duplicate field",
    text: message({
      body: JSON.stringify(BODY).replace("{", '{"team":"others",'),
    }),
    status: 400,
    reason: RejectionReason.DuplicateField,
  },
  {
    title: "a duplicate field in a payload",
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
    title: "a deadline that is not a number",
    text: message({ body: withBody({ deadlineMilliseconds: "1s" }) }),
    status: 422,
    reason: RejectionReason.InvalidField,
  },
  {
    title: "a deadline above the limit",
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
    title: "an idempotency key that is not an identifier",
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
    title: "an epoch token that is not an epoch",
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
    title: "a job whose team is not an identifier",
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
    title: "text that is not HTTP",
    text: "hello\r\n\r\n",
    status: 400,
    reason: RejectionReason.MalformedRequest,
  },
  {
    title: "a length that is not a number",
    text: message().replace(/Content-Length: \d+/, "Content-Length: many"),
    status: 400,
    reason: RejectionReason.MalformedRequest,
  },
];

describe("HttpCallers", () => {
  for (const { title, text, status, reason } of REJECTED) {
    it(`rejects ${title} as ${reason}`, async () => {
      await using harness = await CallersHarness.start();
      expect(await harness.send(text)).toEqual({ status, reason });
      expect(harness.inputs).toEqual([{
        kind: InputKind.RequestRejected,
        reason,
      }]);
    });
  }

  it("rejects a body that is not UTF-8", async () => {
    await using harness = await CallersHarness.start();
    const socket = harness.connect();
    socket.write(message({ body: "", length: 2 }));
    socket.write(Buffer.from([0xc3, 0x28]));
    expect(parseReply(await readAll(socket))).toEqual({
      status: 400,
      reason: RejectionReason.MalformedBody,
    });
  });

  it("rejects a body that does not arrive in time", async () => {
    await using harness = await CallersHarness.start({ bodyMilliseconds: 50 });
    const reply = await harness.send(message({ body: "{", length: 100 }));
    expect(reply).toEqual({
      status: 408,
      reason: RejectionReason.BodyTooSlow,
    });
    expect(harness.submissions).toEqual([]);
  });

  it("rejects headers that do not arrive in time", async () => {
    await using harness = await CallersHarness.start({
      headersMilliseconds: 50,
    });
    const reply = await harness.send("POST /v1/jobs HTTP/1.1\r\nHost: e");
    expect(reply).toEqual({
      status: 408,
      reason: RejectionReason.HeadersTooSlow,
    });
  });

  it("emits no submission for a truncated body", async () => {
    await using harness = await CallersHarness.start();
    const rejected = harness.awaitInput(InputKind.RequestRejected);
    const socket = harness.connect();
    socket.write(message({ length: 1_000 }), () => socket.resetAndDestroy());
    await rejected;
    expect(harness.submissions).toEqual([]);
  });

  it("rejects a connection above the limit", async () => {
    await using harness = await CallersHarness.start({ maximumConnections: 1 });
    const first = harness.connect();
    await new Promise((resolve) => first.once("connect", resolve));
    const reply = await harness.send(message());
    expect(reply).toEqual({
      status: 429,
      reason: RejectionReason.TooManyConnections,
    });
    expect(harness.submissions).toEqual([]);
    first.destroy();
  });

  it("limits the memory of all bodies together, and releases it", async () => {
    await using harness = await CallersHarness.start({
      maximumBodiesBytes: 4_096,
    });
    const rejected = harness.awaitInput(InputKind.RequestRejected);
    const text = message({ body: "x".repeat(3_000), length: 4_000 });
    const sockets = [harness.connect(), harness.connect()];
    for (const socket of sockets) socket.write(text);
    await rejected;
    expect(harness.inputs).toEqual([{
      kind: InputKind.RequestRejected,
      reason: RejectionReason.EntryBusy,
    }]);
    const bothEnded = sockets.map((socket) => readAll(socket));
    for (const socket of sockets) socket.end("x".repeat(1_000));
    await Promise.all(bothEnded);
    expect((await harness.send(message())).status).toEqual(200);
  });

  it("answers a submission", async () => {
    await using harness = await CallersHarness.start();
    expect((await harness.send(message())).status).toEqual(200);
    expect(harness.submissions.length).toEqual(1);
  });

  it("reports to the state machine that a caller disconnected", async () => {
    await using harness = await CallersHarness.start();
    const arrived = harness.awaitInput(InputKind.SubmissionArrived);
    const socket = harness.connect();
    socket.write(message({ body: withBody({ kindOfWork: "never-answered" }) }));
    await arrived;
    const disconnected = harness.awaitInput(InputKind.CallerDisconnected);
    socket.destroy();
    await disconnected;
    expect(harness.inputs.at(-1)).toEqual({
      kind: InputKind.CallerDisconnected,
      request: "entry-0~a:1",
    });
  });

  it("computes the same digest for any order of keys, and another for different content", async () => {
    await using harness = await CallersHarness.start();
    const { team, ...others } = BODY;
    const payload = { share: 0.5, ingredient: 1 };
    await harness.send(message());
    await harness.send(message({ body: JSON.stringify({ ...others, team }) }));
    await harness.send(message({ body: withBody({ tasks: [{ payload }] }) }));
    await harness.send(
      message({ body: withBody({ tasks: [{ payload: 1 }] }) }),
    );
    const digests = harness.submissions.map(({ submission }) =>
      submission.digest
    );
    expect(new Set(digests.slice(0, 3)).size).toEqual(1);
    expect(digests[3]).not.toEqual(digests[0]);
  });
});

describe("HttpCallers with team tokens", () => {
  const teamTokens = { assessors: "token-a", handlers: "token-b" };
  const authorized = (token: string) => [
    KEY,
    JSON_TYPE,
    `Authorization: Bearer ${token}`,
  ];

  it("accepts a submission with the token of its team", async () => {
    await using harness = await CallersHarness.start({ teamTokens });
    const reply = await harness.send(
      message({ headers: authorized("token-a") }),
    );
    expect(reply.status).toEqual(200);
  });

  it("rejects a request without a token or with an unknown one", async () => {
    await using harness = await CallersHarness.start({ teamTokens });
    for (const headers of [[KEY, JSON_TYPE], authorized("token-c")]) {
      expect(await harness.send(message({ headers }))).toEqual({
        status: 401,
        reason: RejectionReason.Unauthorized,
      });
    }
    expect(harness.submissions).toEqual([]);
  });

  it("rejects requests in the name of another team", async () => {
    await using harness = await CallersHarness.start({ teamTokens });
    const headers = authorized("token-b");
    const starts = [
      "POST /v1/jobs",
      "GET /v1/jobs/assessors/key-1",
      "DELETE /v1/jobs/assessors/key-1",
    ];
    for (const start of starts) {
      expect(await harness.send(message({ start, headers }))).toEqual({
        status: 403,
        reason: RejectionReason.TeamNotAllowed,
      });
    }
    expect(harness.inputs.map(({ kind }) => kind)).toEqual(
      starts.map(() => InputKind.RequestRejected),
    );
  });
});
