/**
 * Response time compared with the ideal, which is the same task sent directly to a free backend server in
 * the same run. Jobs are submitted one at a time to an idle system, then several at a time to measure the
 * processor time for each task.
 */
import { PeerReplyKind, PeerRequestKind } from "@eelgrassfront/model";
import { Pool } from "undici";
import { LatencyRecorder, type LatencySummary } from "./latency_summary.ts";
import { LocalSystem, pause } from "./local_system.ts";
import { MetricsReceiver } from "./metrics_receiver.ts";
import { totalMicroseconds } from "./processor_time.ts";

const ENTRIES = 3;
const SIDECARS = 11;
const SLOTS = 8;
const RUN_MILLISECONDS = 50;
const CONNECTIONS = 64;
const IDLE_MILLISECONDS = 4_000;
/** Longer than the interval at which processes send the metrics that they have collected. */
const METRICS_FLUSH_MILLISECONDS = 1_500;
/** Time after the warm-up for compilation and garbage collection to finish. */
const SETTLE_MILLISECONDS = 6_000;
const DEADLINE_MILLISECONDS = 30_000;
const MICROSECONDS_PER_MILLISECOND = 1_000;

/** Kinds of messages that carry no work. */
const BACKGROUND_KINDS: readonly string[] = [
  PeerRequestKind.Heartbeat,
  PeerReplyKind.HeartbeatAnswered,
];

interface Phase {
  readonly name: string;
  readonly tasksPerJob: number;
  readonly jobs: number;
  /** Number of jobs in flight at a time. */
  readonly concurrency: number;
}

const WARM_UP: readonly Phase[] = [
  { name: "warm-up", tasksPerJob: 1, jobs: 600, concurrency: 20 },
  { name: "warm-up", tasksPerJob: 40, jobs: 40, concurrency: 2 },
];

const PHASES: readonly Phase[] = [
  { name: "single", tasksPerJob: 1, jobs: 200, concurrency: 1 },
  { name: "forty", tasksPerJob: 40, jobs: 100, concurrency: 1 },
  { name: "busySingle", tasksPerJob: 1, jobs: 4_000, concurrency: 48 },
  { name: "busyForty", tasksPerJob: 40, jobs: 100, concurrency: 2 },
];

/** Figures of one phase. Times are in milliseconds, processor times in microseconds. */
interface PhaseFigures {
  readonly ideal: LatencySummary;
  readonly response: LatencySummary;
  readonly responseOverIdealP50: number;
  readonly responseOverIdealP99: number;
  /** Median response minus the median ideal. */
  readonly addedP50: number;
  /** 99th percentile of the response minus the median ideal. */
  readonly addedP99: number;
  readonly messagesPerTask: number;
  readonly processorMicrosecondsPerTask: RoleTimes;
  /** Share of a core that all processes of a role together use while idle, before the phase. */
  readonly idleCoreShare: RoleTimes;
  readonly failedJobs: number;
}

/** A value for each role, all processes of the role together. */
interface RoleTimes {
  readonly entries: number;
  readonly sidecars: number;
}

/** Runs the measure and returns its figures. */
export async function measureResponse(): Promise<object> {
  await using receiver = await MetricsReceiver.listen();
  await using system = await LocalSystem.start({
    entries: ENTRIES,
    sidecars: SIDECARS,
    slots: SLOTS,
    metricsReceiver: receiver.address,
  });
  await using experiment = new ResponseExperiment(system, receiver);
  for (const phase of WARM_UP) await experiment.submitAll(phase);
  await pause(SETTLE_MILLISECONDS);
  const figures: Record<string, PhaseFigures> = {};
  for (const phase of PHASES) {
    figures[phase.name] = await experiment.measure(phase);
    printFigures(phase.name, figures[phase.name]);
  }
  return { measure: "response", ...figures };
}

class ResponseExperiment implements AsyncDisposable {
  readonly #system: LocalSystem;
  readonly #receiver: MetricsReceiver;
  readonly #entries: readonly Pool[];
  readonly #backendServers: readonly Pool[];
  readonly #runId = Date.now().toString(36);
  #lastJob = 0;
  #failedJobs = 0;

  constructor(system: LocalSystem, receiver: MetricsReceiver) {
    this.#system = system;
    this.#receiver = receiver;
    const createPool = ({ address }: { readonly address: string }) =>
      new Pool(`http://${address}`, { connections: CONNECTIONS });
    this.#entries = system.entries.map(createPool);
    this.#backendServers = system.backendServers.map(createPool);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const pools = [...this.#entries, ...this.#backendServers];
    await Promise.all(pools.map((pool) => pool.destroy()));
  }

  /** Measures the share of a core that all processes of each role together use while idle. */
  async measureIdle(): Promise<RoleTimes> {
    await pause(METRICS_FLUSH_MILLISECONDS);
    const startedAt = performance.now();
    const before = this.#processorTimes();
    await pause(IDLE_MILLISECONDS);
    const used = subtract(this.#processorTimes(), before);
    const elapsed = (performance.now() - startedAt) *
      MICROSECONDS_PER_MILLISECOND;
    return {
      entries: used.entries / elapsed,
      sidecars: used.sidecars / elapsed,
    };
  }

  async measure(phase: Phase): Promise<PhaseFigures> {
    const idle = await this.measureIdle();
    const ideal = await this.#callDirectly(Math.min(phase.jobs, 200));
    this.#failedJobs = 0;
    const messagesBefore = this.#countMessages();
    const timesBefore = this.#processorTimes();
    const startedAt = performance.now();
    const response = await this.submitAll(phase);
    const elapsed = performance.now() - startedAt;
    const used = subtract(this.#processorTimes(), timesBefore);
    await pause(METRICS_FLUSH_MILLISECONDS);
    const messages = this.#countMessages() - messagesBefore;
    const tasks = phase.jobs * phase.tasksPerJob;
    const perTask = (microseconds: number, share: number) =>
      (microseconds - share * elapsed * MICROSECONDS_PER_MILLISECOND) / tasks;
    return {
      ideal,
      response,
      responseOverIdealP50: response.p50 / ideal.p50,
      responseOverIdealP99: response.p99 / ideal.p50,
      addedP50: response.p50 - ideal.p50,
      addedP99: response.p99 - ideal.p50,
      messagesPerTask: messages / tasks,
      processorMicrosecondsPerTask: {
        entries: perTask(used.entries, idle.entries),
        sidecars: perTask(used.sidecars, idle.sidecars),
      },
      idleCoreShare: idle,
      failedJobs: this.#failedJobs,
    };
  }

  /** Submits the jobs of a phase and summarizes their response times. */
  async submitAll(phase: Phase): Promise<LatencySummary> {
    const recorder = new LatencyRecorder();
    let submitted = 0;
    const caller = async () => {
      while (submitted < phase.jobs) {
        submitted += 1;
        recorder.add(await this.#submit(phase.tasksPerJob));
      }
    };
    await Promise.all(Array.from({ length: phase.concurrency }, caller));
    return recorder.summary();
  }

  async #submit(tasks: number): Promise<number> {
    this.#lastJob += 1;
    const entry = this.#entries[this.#lastJob % this.#entries.length];
    if (entry === undefined) throw new Error("the system has no entries");
    const startedAt = performance.now();
    const response = await entry.request({
      method: "POST",
      path: "/v1/jobs",
      headers: {
        "content-type": "application/json",
        "idempotency-key": `response-${this.#runId}-${this.#lastJob}`,
      },
      body: createJobBody(tasks),
    });
    await response.body.text();
    if (response.statusCode !== 200) this.#failedJobs += 1;
    return performance.now() - startedAt;
  }

  async #callDirectly(calls: number): Promise<LatencySummary> {
    const recorder = new LatencyRecorder();
    for (let call = 0; call < calls; call += 1) {
      const server = this.#backendServers[call % this.#backendServers.length];
      if (server === undefined) throw new Error("there are no backend servers");
      const startedAt = performance.now();
      const response = await server.request({
        method: "POST",
        path: "/tasks",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({
          kindOfWork: "check",
          payload: createTaskPayload(),
        }),
      });
      await response.body.text();
      recorder.add(performance.now() - startedAt);
    }
    return recorder.summary();
  }

  #countMessages(): number {
    let messages = 0;
    for (const [kind, sum] of this.#receiver.sumsByReason("messages.sent")) {
      if (!BACKGROUND_KINDS.includes(kind)) messages += sum;
    }
    return messages;
  }

  #processorTimes(): RoleTimes {
    const { entries, sidecars } = this.#system;
    return {
      entries: totalMicroseconds(entries.map(({ child }) => child.pid)),
      sidecars: totalMicroseconds(sidecars.map(({ child }) => child.pid)),
    };
  }
}

function subtract(after: RoleTimes, before: RoleTimes): RoleTimes {
  return {
    entries: after.entries - before.entries,
    sidecars: after.sidecars - before.sidecars,
  };
}

function createTaskPayload(): string {
  return JSON.stringify({ runMilliseconds: RUN_MILLISECONDS });
}

function createJobBody(tasks: number): string {
  const task = {
    payload: { runMilliseconds: RUN_MILLISECONDS },
    declaredMilliseconds: RUN_MILLISECONDS,
  };
  return JSON.stringify({
    team: "assessors",
    kindOfWork: "check",
    idempotent: true,
    deadlineMilliseconds: DEADLINE_MILLISECONDS,
    tasks: Array.from({ length: tasks }, () => task),
  });
}

function printFigures(name: string, figures: PhaseFigures | undefined): void {
  process.stdout.write(`${name}: ${JSON.stringify(figures)}\n`);
}
