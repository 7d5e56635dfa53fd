/**
 * Publishing against the log stand-in: races, lost answers, retries and outages.
 */
import { test } from "node:test";
import { type Configuration, LogRecordKind } from "@eelgrassfront/model";
import { LogServer } from "@eelgrassfront/stand-in-platform-log";
import { expect } from "earl";
import { request } from "undici";
import { ConfigurationLog } from "./configuration_log.ts";
import { PublicationKind, publish } from "./configuration_publication.ts";

test("a publication is accepted, and one that was reviewed against an older version rejected", async () => {
  await using bench = await Bench.open();
  expect(await bench.publish("first", 1)).toEqual({
    kind: PublicationKind.Accepted,
    version: 1,
    inForce: 1,
  });
  await bench.publish("second", 2);
  const late = await publish(bench.log, {
    ...requestOf("third", 3),
    replaces: 1,
  });
  expect(late).toEqual({
    kind: PublicationKind.Rejected,
    rejectedBy: 2,
    publishedBy: "operator",
  });
});

test("of two operators that race one wins and the other learns by whom", async () => {
  await using bench = await Bench.open();
  await bench.publish("first", 1);
  const racers = ["left", "right"].map((name) =>
    publish(bench.log, { ...requestOf(name, 2), replaces: 1 })
  );
  const kinds = (await Promise.all(racers)).map(({ kind }) => kind);
  expect(kinds.sort()).toEqual([
    PublicationKind.Accepted,
    PublicationKind.Rejected,
  ]);
});

test("a lost answer is made good by the same publication", async () => {
  await using bench = await Bench.open();
  await bench.control({ loseAnswers: 1 });
  const result = await bench.publish("first", 1);
  expect(result.kind).toEqual(PublicationKind.Accepted);
  expect(bench.appends).toEqual(1);
});

test("a retry by hand is harmless, also after a later version", async () => {
  await using bench = await Bench.open();
  await bench.publish("first", 1);
  await bench.publish("second", 2);
  expect(await bench.publish("first", 1)).toEqual({
    kind: PublicationKind.Accepted,
    version: 1,
    inForce: 2,
  });
  expect(bench.appends).toEqual(2);
});

test("an identifier that was used for another content is refused", async () => {
  await using bench = await Bench.open();
  await bench.publish("first", 1);
  expect(await bench.publish("first", 2)).toEqual({
    kind: PublicationKind.IdentifierReused,
    offset: 1,
  });
});

test("what became of a publication during an outage is unknown", async () => {
  await using bench = await Bench.open();
  await bench.control({ isAway: true });
  const result = await bench.publish("first", 1);
  expect(result.kind).toEqual(PublicationKind.Unknown);
});

test("a refreshed version keeps its number after retention", async () => {
  await using bench = await Bench.open();
  await bench.publish("first", 1);
  await bench.log.append({
    ...recordOf("first", 1),
    firstOffset: 1,
    readTo: 2,
  });
  await bench.control({ retainedRecords: 1 });
  await bench.log.append({
    ...recordOf("first", 1),
    firstOffset: 1,
    readTo: 3,
  });
  expect((await bench.log.read()).current?.offset).toEqual(1);
  expect(await bench.publish("second", 2)).toEqual({
    kind: PublicationKind.Accepted,
    version: 4,
    inForce: 4,
  });
});

test("a log that no longer shows what is in force is not guessed at", async () => {
  await using bench = await Bench.open();
  await bench.publish("first", 1);
  await bench.control({ retainedRecords: 1 });
  await bench.log.append({ ...recordOf("loser", 9), replaces: 1_000 });
  const result = await bench.publish("second", 2);
  expect(result.kind).toEqual(PublicationKind.Unknown);
  expect(bench.appends).toEqual(2);
});

class Bench implements AsyncDisposable {
  readonly log: ConfigurationLog;
  readonly #server: LogServer;
  readonly #origin: string;

  private constructor(server: LogServer) {
    this.#server = server;
    this.#origin = `http://127.0.0.1:${server.port}`;
    this.log = new ConfigurationLog(this.#origin);
  }

  static async open(): Promise<Bench> {
    return new Bench(
      await LogServer.listen(0, {
        appendMilliseconds: 1,
        retainedRecords: 1_000,
      }),
    );
  }

  get appends(): number {
    return this.#server.appends;
  }

  publish(publication: string, price: number) {
    return publish(this.log, requestOf(publication, price));
  }

  async control(faults: object): Promise<void> {
    const response = await request(`${this.#origin}/control`, {
      method: "POST",
      body: JSON.stringify(faults),
    });
    await response.body.dump();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#server[Symbol.asyncDispose]();
  }
}

function recordOf(publication: string, price: number) {
  return {
    kind: LogRecordKind.ConfigurationPublished as const,
    replaces: 0,
    ...requestOf(publication, price),
  };
}

function requestOf(publication: string, price: number) {
  return {
    publication,
    publishedBy: "operator",
    configuration: configurationOf(price),
  };
}

function configurationOf(pricePerSecond: number): Configuration {
  return {
    kindsOfWork: [{
      name: "check",
      service: "dossier",
      weight: 1,
      floor: 0,
      maximumAttempts: 1,
      defaultDeadlineMilliseconds: 1_000,
      pricePerSecond,
    }],
    teams: [],
    limits: { maximumTasksPerJob: 1, retryBudget: 0, maximumQueuedTasks: 1 },
  };
}
