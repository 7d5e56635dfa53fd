/**
 * Stand-in for a worker of the platform: it reports to its sidecar and runs tasks, with leases, fencing tokens, run
 * numbers and the list of ends. It does not guard its capacity. The content of a task is JSON; its field `ms` is the
 * time that the task takes.
 */
import { createServer, request as sendRequest } from "node:http";
import { readBytes, sendJson } from "./http_messages.mjs";

const MAXIMUM_HOLD_MILLISECONDS = 1_000;
const HEARTBEAT_MILLISECONDS = 1_500;
/** Time that a stop takes; the platform allows 50 ms. */
const STOP_MILLISECONDS = 5;

/** One life of a worker. */
export class Worker {
  #options;
  #server;
  #bornAt = performance.now();
  #born = Date.now();
  #sequence = 0;
  #state = "ready";
  #fence = 0;
  #leaseUntil = 0;
  #leaseTimer;
  #heartbeatTimer;
  #running = new Map();
  /** Highest run of each task that was stopped or has ended. */
  #endedRuns = new Map();
  #ends = [];
  #lastEnd = 0;
  #waiters = [];

  /**
   * Options: `id`, `service`, `zone`, `host`, `port`, `reportHost`, `reportPort`, `capacity`, `labels` and
   * `recorder`; `onCall`, if given, may take over a call by returning true.
   */
  constructor(options) {
    this.#options = options;
    this.#server = createServer((request, response) =>
      this.#serve(request, response).catch((error) => response.destroy(error))
    );
  }

  /** Time on the worker's steady clock, in milliseconds. */
  get clock() {
    return Math.floor(performance.now() - this.#bornAt);
  }

  get id() {
    return this.#options.id;
  }

  /** Names of the tasks that run. */
  get runningTasks() {
    return [...this.#running.values()].map(({ run }) => run.task);
  }

  /** Opens the server and begins to report. */
  async start() {
    const { host, port } = this.#options;
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
    this.#heartbeatTimer = setInterval(
      () => void this.report(),
      HEARTBEAT_MILLISECONDS,
    );
    await this.report();
  }

  /** Ends like a crash: all runs end and nothing is reported. */
  crash() {
    clearInterval(this.#heartbeatTimer);
    clearTimeout(this.#leaseTimer);
    for (const { run, timer } of this.#running.values()) {
      clearTimeout(timer);
      this.#options.recorder.end(run, "lost with its worker");
    }
    this.#running.clear();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /**
   * Leaves as planned: reports that it drains, serves on for the given time after the acknowledgement, says goodbye,
   * and ends. All that still runs ends with it, within the time that a stop takes.
   */
  async leave(serveMilliseconds, endMilliseconds) {
    const { recorder } = this.#options;
    this.#state = "draining";
    recorder.line(`${this.id} reports that it drains: ${await this.report()}`);
    await pause(serveMilliseconds);
    clearInterval(this.#heartbeatTimer);
    recorder.line(`${this.id} says goodbye, ${this.#running.size} tasks run`);
    const status = await sendToSidecar(this.#options, "DELETE", this.id);
    recorder.line(`${this.id} gets for its goodbye: ${status}`);
    await pause(endMilliseconds);
    this.crash();
  }

  /** Sends a report. Returns the status of the answer; undefined if there is none. */
  report() {
    const { service, host, port, zone, capacity, labels } = this.#options;
    this.#sequence += 1;
    return putReport(this.#options, this.id, {
      service,
      address: `${host}:${port}`,
      zone,
      version: "v1",
      slots: 8,
      state: this.#state,
      coldLeftMs: 0,
      capacity,
      labels,
      clockMs: this.clock,
      sequence: this.#sequence,
      born: this.#born,
    });
  }

  async #serve(request, response) {
    const bytes = await readBytes(request);
    const path = request.url;
    if (path === "/healthz") {
      response.writeHead(this.#state === "ready" ? 200 : 503).end();
      return;
    }
    const expected = request.headers["expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      sendJson(response, 421, {});
      return;
    }
    const call = bytes.length === 0 ? {} : JSON.parse(bytes.toString());
    if (this.#options.onCall?.(path, call, response) === true) return;
    await this.perform(path, call, response);
  }

  /** Carries out a call. */
  async perform(path, call, response) {
    const { fencingToken = 0 } = call;
    if (fencingToken < this.#fence) {
      this.#refuse(response, "fence");
      return;
    }
    this.#fence = fencingToken;
    switch (path) {
      case "/run-start":
        this.#startRun(call, response);
        return;
      case "/run-stop":
        this.#stopRun(call);
        sendJson(response, 200, { clockMs: this.clock });
        return;
      case "/hold":
        await this.#hold(call, response);
        return;
      default:
        sendJson(response, 400, {});
    }
  }

  #refuse(response, reason) {
    sendJson(response, 409, { clockMs: this.clock, reason });
  }

  #startRun({ task, attempt, spec, deadlineMs }, response) {
    if (deadlineMs < this.clock) {
      this.#refuse(response, "late");
      return;
    }
    this.#extendLease(deadlineMs);
    const key = `${task} ${attempt}`;
    if (!this.#running.has(key)) {
      if (attempt <= (this.#endedRuns.get(task) ?? 0)) {
        this.#refuse(response, "old");
        return;
      }
      const { ms } = JSON.parse(spec);
      const run = this.#options.recorder.start(this.id, task, attempt);
      const timer = setTimeout(() => this.#endRun(key, "done"), ms);
      this.#running.set(key, { run, timer, ms, since: performance.now() });
    }
    sendJson(response, 200, { clockMs: this.clock });
  }

  #stopRun({ task, attempt }) {
    this.#noteEnded(task, attempt);
    const key = `${task} ${attempt}`;
    const active = this.#running.get(key);
    if (active === undefined) return;
    clearTimeout(active.timer);
    active.timer = setTimeout(
      () => this.#endRun(key, "stopped"),
      STOP_MILLISECONDS,
    );
  }

  async #hold({ deadlineMs, ackCursor = 0, waitMs = 0 }, response) {
    if (deadlineMs !== undefined) this.#extendLease(deadlineMs);
    this.#ends = this.#ends.filter(([number]) => number > ackCursor);
    if (this.#ends.length === 0 && waitMs > 0) await this.#waitForEnd(waitMs);
    sendJson(response, 200, {
      clockMs: this.clock,
      born: this.#born,
      running: [...this.#running.values()].map(({ run, ms, since }) => [
        run.task,
        run.attempt,
        "",
        Math.min(99, Math.floor(100 * (performance.now() - since) / ms)),
        0,
      ]),
      finished: this.#ends.slice(0, 500),
    });
  }

  #endRun(key, how) {
    const active = this.#running.get(key);
    if (active === undefined) return;
    clearTimeout(active.timer);
    this.#running.delete(key);
    const { run } = active;
    this.#noteEnded(run.task, run.attempt);
    this.#lastEnd += 1;
    this.#ends.push([this.#lastEnd, run.task, run.attempt, how, ""]);
    this.#options.recorder.end(run, how);
    for (const wake of this.#waiters.splice(0)) wake();
  }

  #noteEnded(task, attempt) {
    const highest = this.#endedRuns.get(task) ?? 0;
    this.#endedRuns.set(task, Math.max(highest, attempt));
  }

  #extendLease(deadline) {
    const longest = this.clock + MAXIMUM_HOLD_MILLISECONDS;
    this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(deadline, longest));
    clearTimeout(this.#leaseTimer);
    this.#leaseTimer = setTimeout(() => {
      for (const key of [...this.#running.keys()]) this.#endRun(key, "lapsed");
    }, this.#leaseUntil - this.clock);
  }

  #waitForEnd(milliseconds) {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, milliseconds);
      this.#waiters.push(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}

/** Sends one report to a sidecar. Resolves with the status of the answer; undefined if there is none in a second. */
export function putReport(target, id, report) {
  return sendToSidecar(target, "PUT", id, JSON.stringify(report));
}

/** Sends a message about a worker from its machine to the sidecar there. */
function sendToSidecar({ reportHost, reportPort }, method, id, body = "") {
  return new Promise((resolve) => {
    const request = sendRequest({
      host: reportHost,
      port: reportPort,
      localAddress: reportHost,
      method,
      path: `/instances/${id}`,
      headers: { "content-type": "application/json" },
      timeout: 1_000,
    }, (response) => {
      response.resume();
      response.on("end", () => resolve(response.statusCode));
    });
    request.on("timeout", () => request.destroy());
    request.on("error", () => resolve(undefined));
    request.end(body);
  });
}

function pause(milliseconds) {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
