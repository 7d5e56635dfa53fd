/**
 * Records sessions for golden files: every output of every process except heartbeats and gauges.
 */
import {
  type Milliseconds,
  OutputKind,
  PeerReplyKind,
  PeerRequestKind,
  type ProcessOutput,
  type Submission,
} from "@eelgrassfront/model";
import { SAMPLE_CONFIGURATION } from "./sample_work.ts";
import { VirtualSystem } from "./virtual_system.ts";

/** Number of shards in a recorded system. */
export const SESSION_SHARDS = 8;
const READY_MILLISECONDS: Milliseconds = 3_000;

/** A virtual system whose outputs are recorded as lines of text. */
export class RecordedSession {
  /** The recording, with one line for each output. */
  readonly lines: string[] = [];
  /** The system under test. */
  readonly system: VirtualSystem;
  #isRecording = false;

  constructor() {
    this.system = new VirtualSystem({
      seed: 1,
      entries: 2,
      sidecars: 4,
      slots: 2,
      owners: 2,
      shards: SESSION_SHARDS,
      configuration: SAMPLE_CONFIGURATION,
      delayMilliseconds: 1,
      onOutput: (process, output) => this.#record(process, output),
    });
    this.system.time.runUntil(READY_MILLISECONDS);
  }

  /** Starts the recording. */
  startRecording(): void {
    this.#isRecording = true;
  }

  /** Advances virtual time. */
  advance(milliseconds: Milliseconds): void {
    const { time } = this.system;
    time.runUntil(time.now + milliseconds);
  }

  /** Records an action of the test, such as killing a process. */
  recordTestStep(step: string): void {
    this.#write("test", step);
  }

  /** Submits through an entry and records the answer. */
  submit(entry: number, submission: Submission): void {
    const process = this.system.entries[entry];
    if (process === undefined) throw new Error(`no entry ${entry}`);
    this.system.submit(process, submission, (answer) => {
      this.#write("caller", `is answered ${JSON.stringify(answer)}`);
    });
  }

  #record(process: string, output: ProcessOutput): void {
    if (!this.#isRecording || isPeriodic(output)) return;
    this.#write(process, JSON.stringify(output));
  }

  #write(source: string, text: string): void {
    this.lines.push(`${this.system.time.now} ${source} ${text}`);
  }
}

function isPeriodic(output: ProcessOutput): boolean {
  const isHeartbeat = output.kind === OutputKind.SendRequest &&
    output.message.kind === PeerRequestKind.Heartbeat;
  const isAnswer = output.kind === OutputKind.SendReply &&
    output.message.kind === PeerReplyKind.HeartbeatAnswered;
  return isHeartbeat || isAnswer || output.kind === OutputKind.SetGauge;
}
