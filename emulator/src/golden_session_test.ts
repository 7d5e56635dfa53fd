/**
 * Golden files of whole sessions in virtual time, compared byte for byte. Set `UPDATE_GOLDEN=1` to write
 * them anew after a change that is meant to change a session.
 */
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { test } from "node:test";
import {
  OutputKind,
  PeerReplyKind,
  PeerRequestKind,
  type ProcessOutput,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { SAMPLE_CONFIGURATION, sampleSubmission } from "./sample_work.ts";
import { VirtualSystem } from "./virtual_system.ts";

const READY_MILLISECONDS = 3_000;

test("submit, resubmit through another entry, answer", () => {
  const session = new Session();
  const { system } = session;
  system.time.runUntil(READY_MILLISECONDS);
  session.begin();
  const submission = sampleSubmission({
    key: "golden",
    runMilliseconds: [50, 80, 50],
  });
  session.submit(0, submission);
  system.time.runUntil(READY_MILLISECONDS + 20);
  session.submit(1, submission);
  system.time.runUntil(READY_MILLISECONDS + 1_000);
  session.submit(1, submission);
  system.time.runUntil(READY_MILLISECONDS + 1_100);
  expect(system.starts.total()).toEqual(3);
  expectGolden("submit_resubmit_answer", session.lines);
});

class Session {
  readonly lines: string[] = [];
  readonly system: VirtualSystem;
  #isRecording = false;

  constructor() {
    this.system = new VirtualSystem({
      seed: 1,
      entries: 2,
      sidecars: 4,
      slots: 2,
      owners: 2,
      shards: 8,
      configuration: SAMPLE_CONFIGURATION,
      delayMilliseconds: 1,
      onOutput: (process, output) => this.#record(process, output),
    });
  }

  begin(): void {
    this.#isRecording = true;
  }

  submit(entry: number, submission: ReturnType<typeof sampleSubmission>): void {
    const process = this.system.entries[entry];
    if (process === undefined) throw new Error(`no entry ${entry}`);
    this.system.submit(process, submission, (answer) => {
      this.#write("caller", `is answered ${JSON.stringify(answer)}`);
    });
  }

  #record(process: string, output: ProcessOutput): void {
    if (!this.#isRecording || isBackground(output)) return;
    this.#write(process, JSON.stringify(output));
  }

  #write(who: string, what: string): void {
    this.lines.push(`${this.system.time.now} ${who} ${what}`);
  }
}

function isBackground(output: ProcessOutput): boolean {
  const isHeartbeat = output.kind === OutputKind.SendRequest &&
    output.message.kind === PeerRequestKind.Heartbeat;
  const isAnswer = output.kind === OutputKind.SendReply &&
    output.message.kind === PeerReplyKind.HeartbeatAnswered;
  return isHeartbeat || isAnswer || output.kind === OutputKind.SetGauge;
}

function expectGolden(name: string, lines: readonly string[]): void {
  const file = new URL(`../golden/${name}.txt`, import.meta.url);
  const text = `${lines.join("\n")}\n`;
  if (process.env["UPDATE_GOLDEN"] === "1") writeFileSync(file, text);
  expect(existsSync(file)).toEqual(true);
  expect(text).toEqual(readFileSync(file, "utf8"));
}
