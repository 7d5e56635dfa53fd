/**
 * Publishes to the stand-in of the log: races, lost responses, retries and outages.
 */
import { test } from "node:test";
import { type Configuration, LogRecordKind } from "@eelgrassfront/model";
import { LogServer } from "@eelgrassfront/stand-in-platform-log";
import { expect } from "earl";
import { request } from "undici";
import { ConfigurationLog } from "./configuration_log.ts";
import { PublicationKind, publish } from "./configuration_publication.ts";

test("a publication is accepted, and one that was reviewed against an older version is rejected", async () => {
  await using harness = await PublicationHarness.open();
  expect(await harness.publish("first", 1)).toEqual({
    kind: PublicationKind.Accepted,
    version: 1,
    inForce: 1,
  });
  await harness.publish("second", 2);
  const late = await publish(harness.log, {
    ...requestOf("third", 3),
    replaces: 1,
  });
  expect(late).toEqual({
    kind: PublicationKind.Rejected,
    rejectedBy: 2,
    publishedBy: "operator",
  });
});

test("of two concurrent publications one is accepted and the other is rejected", async () => {
  await using harness = await PublicationHarness.open();
  await harness.publish("first", 1);
  const racers = ["left", "right"].map((name) =>
    publish(harness.log, { ...requestOf(name, 2), replaces: 1 })
  );
  const kinds = (await Promise.all(racers)).map(({ kind }) => kind);
  expect(kinds.sort()).toEqual([
    PublicationKind.Accepted,
    PublicationKind.Rejected,
  ]);
});

test("a publication whose response is lost is accepted once", async () => {
  await using harness = await PublicationHarness.open();
  await harness.control({ loseAnswers: 1 });
  const result = await harness.publish("first", 1);
  expect(result.kind).toEqual(PublicationKind.Accepted);
  expect(harness.appends).toEqual(1);
});

test("a manual retry has no further effect, even after a later version", async () => {
  await using harness = await PublicationHarness.open();
  await harness.publish("first", 1);
  await harness.publish("second", 2);
  expect(await harness.publish("first", 1)).toEqual({
    kind: PublicationKind.Accepted,
    version: 1,
    inForce: 2,
  });
  expect(harness.appends).toEqual(2);
});

test("an identifier that was used for different content is rejected", async () => {
  await using harness = await PublicationHarness.open();
  await harness.publish("first", 1);
  expect(await harness.publish("first", 2)).toEqual({
    kind: PublicationKind.IdentifierReused,
    offset: 1,
  });
});

test("the result of a publication during an outage is unknown", async () => {
  await using harness = await PublicationHarness.open();
  await harness.control({ isAway: true });
  const result = await harness.publish("first", 1);
  expect(result.kind).toEqual(PublicationKind.Unknown);
});

test("a refreshed version keeps its number after retention", async () => {
  await using harness = await PublicationHarness.open();
  await harness.publish("first", 1);
  await harness.log.append({
    ...recordOf("first", 1),
    firstOffset: 1,
    readTo: 2,
  });
  await harness.control({ retainedRecords: 1 });
  await harness.log.append({
    ...recordOf("first", 1),
    firstOffset: 1,
    readTo: 3,
  });
  expect((await harness.log.read()).current?.offset).toEqual(1);
  expect(await harness.publish("second", 2)).toEqual({
    kind: PublicationKind.Accepted,
    version: 4,
    inForce: 4,
  });
});

test("when the log no longer holds the version in force, nothing is published and the result is unknown", async () => {
  await using harness = await PublicationHarness.open();
  await harness.publish("first", 1);
  await harness.control({ retainedRecords: 1 });
  await harness.log.append({ ...recordOf("loser", 9), replaces: 1_000 });
  const result = await harness.publish("second", 2);
  expect(result.kind).toEqual(PublicationKind.Unknown);
  expect(harness.appends).toEqual(2);
});

class PublicationHarness implements AsyncDisposable {
  readonly log: ConfigurationLog;
  readonly #server: LogServer;
  readonly #origin: string;

  private constructor(server: LogServer) {
    this.#server = server;
    this.#origin = `http://127.0.0.1:${server.port}`;
    this.log = new ConfigurationLog(this.#origin);
  }

  static async open(): Promise<PublicationHarness> {
    return new PublicationHarness(
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
