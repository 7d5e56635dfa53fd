/**
 * Stand-in for a minion: it reports to the sidecar on its machine, and runs what it is told to. The text of a job
 * says in JSON how long each of its tasks takes (`taskMs`).
 */
import { createServer } from "node:http";
import { listen, readJson, writeJson } from "./http_messages.mjs";

const HEARTBEAT_MILLISECONDS = 1_500;
const LONGEST_LEASE_MILLISECONDS = 1_000;
const LONGEST_WAIT_MILLISECONDS = 2_000;
const MAXIMUM_ENDS = 500;
const CAPACITY = { cpu: 32_000, memMb: 131_072, gpu: 0 };

/** One minion. */
export class Minion {
  #options;
  #born = Date.now();
  #startedAt = performance.now();
  #sequence = 0;
  #running = new Map();
  /** Highest run of each task that was stopped or has ended here. */
  #endedRuns = new Map();
  #ends = [];
  #lastEnd = 0;
  #fence = 0;
  #leaseUntil = 0;
  #leaseTimer;
  #heartbeatTimer;
  #waiters = [];
  #server = createServer((request, response) => {
    this.#serve(request, response).catch(() => response.destroy());
  });

  /** @param options identity, addresses, and `onStart` and `onEnd` for each run */
  constructor(options) {
    this.#options = options;
  }

  /** Listens at its address and begins to report. */
  async start() {
    const { host, port } = this.#options;
    await listen(this.#server, host, port);
    this.#heartbeatTimer = setInterval(
      () => void this.#report(),
      HEARTBEAT_MILLISECONDS,
    );
    void this.#report();
  }

  /** Ends the minion and everything that it runs. */
  close() {
    clearInterval(this.#heartbeatTimer);
    clearTimeout(this.#leaseTimer);
    for (const { timer } of this.#running.values()) clearTimeout(timer);
    this.#running.clear();
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #clock() {
    return Math.floor(performance.now() - this.#startedAt);
  }

  async #report() {
    const { id, service, host, port, zone, sidecar } = this.#options;
    this.#sequence += 1;
    try {
      const response = await fetch(`http://${sidecar}/instances/${id}`, {
        method: "PUT",
        headers: { "content-type": "application/json" },
        signal: AbortSignal.timeout(1_000),
        body: JSON.stringify({
          service,
          address: `${host}:${port}`,
          zone,
          version: "v1",
          slots: 8,
          state: "ready",
          coldLeftMs: 0,
          capacity: CAPACITY,
          labels: ["a", "r1-1"],
          clockMs: this.#clock(),
          sequence: this.#sequence,
          born: this.#born,
        }),
      });
      await response.arrayBuffer();
    } catch {
      // The sidecar does not answer; it gets the next report.
    }
  }

  async #serve(request, response) {
    const body = await readJson(request);
    const expected = request.headers["expect-instance"];
    if (expected !== undefined && expected !== this.#options.id) {
      writeJson(response, 421, { clockMs: this.#clock() });
      return;
    }
    if (request.method === "GET" && request.url === "/healthz") {
      writeJson(response, 200, {});
      return;
    }
    const fencingToken = body.fencingToken ?? 0;
    if (fencingToken < this.#fence) {
      this.#answer(response, "fence");
      return;
    }
    this.#fence = fencingToken;
    switch (request.url) {
      case "/run-start":
        this.#answer(response, this.#startRun(body));
        return;
      case "/run-stop":
        this.#stopRun(body);
        this.#answer(response, undefined);
        return;
      case "/hold":
        await this.#hold(body, response);
        return;
      default:
        writeJson(response, 404, {});
    }
  }

  #answer(response, reason) {
    const clockMs = this.#clock();
    if (reason === undefined) writeJson(response, 200, { clockMs });
    else writeJson(response, 409, { clockMs, reason });
  }

  /** Starts a run. Returns the reason when it is rejected. */
  #startRun({ task, attempt, spec, deadlineMs }) {
    if (deadlineMs <= this.#clock()) return "late";
    this.#extendLease(deadlineMs);
    const known = this.#running.get(task);
    if (known?.attempt === attempt) return undefined;
    const isOld = attempt <= (this.#endedRuns.get(task) ?? 0) ||
      (known !== undefined && attempt < known.attempt);
    if (isOld) return "old";
    const { taskMs } = JSON.parse(spec);
    const timer = setTimeout(() => this.#end(task, "done"), taskMs);
    const startedAt = performance.now();
    this.#running.set(task, { attempt, startedAt, taskMs, timer });
    this.#options.onStart(task, attempt);
    return undefined;
  }

  #stopRun({ task, attempt }) {
    const ended = this.#endedRuns.get(task) ?? 0;
    this.#endedRuns.set(task, Math.max(ended, attempt));
    if (this.#running.get(task)?.attempt === attempt) {
      this.#end(task, "stopped");
    }
  }

  async #hold({ deadlineMs, ackCursor = 0, waitMs = 0 }, response) {
    if (deadlineMs !== undefined) this.#extendLease(deadlineMs);
    this.#ends = this.#ends.filter(([number]) => number > ackCursor);
    if (this.#ends.length === 0 && waitMs > 0) {
      await this.#waitForEnd(Math.min(waitMs, LONGEST_WAIT_MILLISECONDS));
    }
    writeJson(response, 200, {
      born: this.#born,
      clockMs: this.#clock(),
      running: [...this.#running].map(([task, run]) => [
        task,
        run.attempt,
        "",
        percentOf(run),
        1_000,
      ]),
      finished: this.#ends.slice(0, MAXIMUM_ENDS),
    });
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

  #end(task, how) {
    const run = this.#running.get(task);
    if (run === undefined) return;
    clearTimeout(run.timer);
    this.#running.delete(task);
    this.#endedRuns.set(task, run.attempt);
    this.#lastEnd += 1;
    this.#ends.push([this.#lastEnd, task, run.attempt, how, ""]);
    this.#options.onEnd(task, run.attempt, how);
    for (const wake of this.#waiters.splice(0)) wake();
  }

  #extendLease(deadline) {
    const longest = this.#clock() + LONGEST_LEASE_MILLISECONDS;
    this.#leaseUntil = Math.max(this.#leaseUntil, Math.min(deadline, longest));
    clearTimeout(this.#leaseTimer);
    this.#leaseTimer = setTimeout(() => {
      for (const task of [...this.#running.keys()]) this.#end(task, "lapsed");
    }, this.#leaseUntil - this.#clock());
  }
}

function percentOf({ startedAt, taskMs }) {
  return Math.floor(100 * (performance.now() - startedAt) / taskMs);
}
