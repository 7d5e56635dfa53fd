/**
 * Client account that submits best-effort jobs as the platform's clients do: after no answer, a broken connection, 502
 * or 504 it sends the job again 1.3 s later, to another entry.
 */
import { randomBytes } from "node:crypto";
import { request as sendRequest } from "node:http";

/** Time after which a job is sent again. */
export const RETRANSMIT_MILLISECONDS = 1_300;
const MAXIMUM_SENDS = 3;

/** Sends one request and resolves with its status and body; the status is undefined if there is no answer. */
export function call(address, options) {
  const { method, path, headers, body, deadlineMilliseconds } = options;
  return new Promise((resolve) => {
    const request = sendRequest({
      ...address,
      method,
      path,
      headers,
      agent: false,
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => resolve({ end: "cut" }));
      response.on("end", () => {
        const text = Buffer.concat(chunks).toString();
        resolve({ status: response.statusCode, text, end: "answered" });
      });
    });
    const timer = setTimeout(() => {
      request.destroy();
      resolve({ end: "deadline" });
    }, deadlineMilliseconds);
    request.on("error", () => resolve({ end: "cut" }));
    request.on("close", () => clearTimeout(timer));
    request.end(body);
  });
}

/** Returns a new identifier of a job. */
export function newJobId() {
  return randomBytes(8).toString("hex");
}

/** Submits jobs to the entries of a deployment. */
export class Client {
  #options;

  /** Options: `entries` (the address of each entry), `balancer`, `host`, `prefix` and `recorder`. */
  constructor(options) {
    this.#options = options;
  }

  /** Submits a job for a client with the given number. Returns every answer. */
  async submit(job, { id = newJobId(), deadlineMilliseconds, client = 0 }) {
    const { balancer, recorder } = this.#options;
    const answers = [];
    for (let send = 0; send < MAXIMUM_SENDS; send += 1) {
      const index = balancer.select(client, send);
      recorder.line(`client sends ${id} to entry ${index + 1}`);
      const answer = await this.send("POST", id, index, {
        body: JSON.stringify(job),
        deadlineMilliseconds,
      });
      const shown = answer.status === undefined
        ? answer.end
        : `${answer.status} ${answer.text}`;
      recorder.line(`client gets ${id}: ${shown}`);
      answers.push(answer);
      const isFinal = ![undefined, 502, 504].includes(answer.status);
      if (isFinal) break;
      await new Promise((resolve) =>
        setTimeout(resolve, RETRANSMIT_MILLISECONDS)
      );
    }
    return { id, answers };
  }

  /** Sends one request about a job to an entry. */
  send(method, id, index, { body, deadlineMilliseconds }) {
    const { entries, host, prefix } = this.#options;
    return call(entries[index], {
      method,
      path: `${prefix}${id}`,
      headers: {
        host,
        "content-type": "application/json",
        "deadline-ms": String(deadlineMilliseconds),
      },
      body,
      deadlineMilliseconds,
    });
  }
}
