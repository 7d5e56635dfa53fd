/**
 * Checks probes, tokens, report and drain over real connections.
 */
import { describe, it } from "node:test";
import {
  type AnswerOperator,
  InputKind,
  type OperatorInput,
  OutputKind,
  processIdentifier,
  Readiness,
  Role,
} from "@eelgrassfront/model";
import { runEffects, tap } from "@most/core";
import { newDefaultScheduler } from "@most/scheduler";
import { expect } from "earl";
import { request } from "undici";
import { HttpOperators } from "./http_operators.ts";

const TOKEN = "a-token";
const REPORT: AnswerOperator["report"] = {
  process: processIdentifier("entry-0", "a"),
  role: Role.Entry,
  availabilityZone: "zone-1",
  address: "127.0.0.1:1",
  readiness: Readiness.Ready,
  log: { nextOffset: 7, isAvailable: true },
  fleet: { entries: 1, sidecars: 0, slots: 0, reachable: 1, unreachable: [] },
  waitingRequests: 0,
  epochToken: 6,
};

/** Starts an operators' interface that immediately answers each report request with `REPORT`. */
async function listen(): Promise<TestInterface> {
  const operators = await HttpOperators.listen({
    host: "127.0.0.1",
    port: 0,
    token: TOKEN,
  });
  const inputs: OperatorInput[] = [];
  const effects = tap((input: OperatorInput) => {
    inputs.push(input);
    if (input.kind !== InputKind.ReportRequested) return;
    operators.perform({
      kind: OutputKind.AnswerOperator,
      request: input.request,
      report: REPORT,
    });
  }, operators.inputs);
  void runEffects(effects, newDefaultScheduler());
  return {
    operators,
    inputs,
    origin: `http://127.0.0.1:${operators.port}`,
    [Symbol.asyncDispose]: () => operators[Symbol.asyncDispose](),
  };
}

interface TestInterface extends AsyncDisposable {
  readonly operators: HttpOperators;
  readonly inputs: readonly OperatorInput[];
  readonly origin: string;
}

async function fetchJson(
  url: string,
  options: { readonly method?: string; readonly token?: string } = {},
): Promise<{ readonly status: number; readonly body: unknown }> {
  const { method = "GET", token } = options;
  const response = await request(url, {
    method,
    headers: token === undefined ? {} : { authorization: `Bearer ${token}` },
  });
  return { status: response.statusCode, body: await response.body.json() };
}

describe("HttpOperators", () => {
  it("is alive from the start, and ready only while the state machine reports it", async () => {
    await using running = await listen();
    const { operators, origin } = running;
    expect((await fetchJson(`${origin}/alive`)).status).toEqual(200);
    expect((await fetchJson(`${origin}/ready`)).status).toEqual(503);
    operators.perform({ kind: OutputKind.ReportReadiness, isReady: true });
    expect((await fetchJson(`${origin}/ready`)).status).toEqual(200);
    operators.perform({ kind: OutputKind.ReportReadiness, isReady: false });
    expect((await fetchJson(`${origin}/ready`)).status).toEqual(503);
  });

  it("returns the report only for the correct token", async () => {
    await using running = await listen();
    const url = `${running.origin}/report`;
    expect((await fetchJson(url)).status).toEqual(401);
    expect((await fetchJson(url, { token: "another" })).status).toEqual(401);
    expect(running.inputs).toEqual([]);
    const answer = await fetchJson(url, { token: TOKEN });
    expect(answer).toEqual({ status: 200, body: REPORT });
  });

  it("requests a drain only for the correct token", async () => {
    await using running = await listen();
    const url = `${running.origin}/drain`;
    const method = "POST";
    expect((await fetchJson(url, { method })).status).toEqual(401);
    expect(running.inputs).toEqual([]);
    expect((await fetchJson(url, { method, token: TOKEN })).status).toEqual(
      202,
    );
    expect(running.inputs).toEqual([{ kind: InputKind.DrainRequested }]);
  });

  it("distinguishes an unknown path from a method that is not allowed", async () => {
    await using running = await listen();
    const { origin } = running;
    expect((await fetchJson(`${origin}/nowhere`)).status).toEqual(404);
    const drain = await fetchJson(`${origin}/drain`, { token: TOKEN });
    expect(drain.status).toEqual(405);
    expect(running.inputs).toEqual([]);
  });
});
