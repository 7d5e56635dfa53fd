/**
 * A process in virtual time: runs a production state machine against fakes. A test can kill or pause the
 * process; a paused process queues its inputs.
 */
import type {
  Milliseconds,
  ProcessIdentifier,
  ProcessInput,
  ProcessOutput,
  StateMachine,
} from "@eelgrassfront/model";
import type { VirtualTime } from "./virtual_time.ts";

/** Options of a `VirtualProcess`. */
export interface VirtualProcessOptions<Input, Output> {
  readonly identifier: ProcessIdentifier;
  readonly decisions: StateMachine<Input, Output>;
  readonly time: VirtualTime;
  /** Carries out an output of the state machine. */
  readonly perform: (output: Output) => void;
  /** Creates the input that the state machine handles when its alarm fires. */
  readonly createAlarm: () => Input;
  readonly onInput?: (input: Input) => void;
}

/** Execution state of a process. */
export enum ProcessState {
  Running = "running",
  Paused = "paused",
  Ended = "ended",
}

/** Steps a state machine with inputs and with alarms at virtual times. */
export class VirtualProcess<Input = ProcessInput, Output = ProcessOutput> {
  readonly identifier: ProcessIdentifier;
  readonly #options: VirtualProcessOptions<Input, Output>;
  #state: ProcessState = ProcessState.Running;
  #queuedInputs: Input[] = [];
  #deferredActions: (() => void)[] = [];
  #alarmAt: Milliseconds | undefined;

  constructor(options: VirtualProcessOptions<Input, Output>) {
    this.#options = options;
    this.identifier = options.identifier;
  }

  /** The execution state. */
  get state(): ProcessState {
    return this.#state;
  }

  /** Handles an input now, or after `resume` when the process is paused; an ended process ignores it. */
  receive(input: Input): void {
    switch (this.#state) {
      case ProcessState.Running:
        this.#step(input);
        return;
      case ProcessState.Paused:
        this.#queuedInputs.push(input);
        return;
      case ProcessState.Ended:
        return;
    }
  }

  /** Ends the process immediately. */
  kill(): void {
    this.#state = ProcessState.Ended;
  }

  /** Pauses the process: no input is handled and no alarm fires until `resume`. */
  pause(): void {
    if (this.#state === ProcessState.Running) this.#state = ProcessState.Paused;
  }

  /** Resumes a paused process, which first handles the queued inputs, or a due alarm as an event loop does. */
  resume(isAlarmFirst = false): void {
    if (this.#state !== ProcessState.Paused) return;
    this.#state = ProcessState.Running;
    const alarmAt = this.#alarmAt ?? Infinity;
    if (isAlarmFirst && alarmAt <= this.#options.time.now) {
      this.#fireAlarm(alarmAt);
    }
    const inputs = this.#queuedInputs;
    this.#queuedInputs = [];
    for (const input of inputs) this.receive(input);
    this.#alarmAt = undefined;
    this.#armAlarm();
    const actions = this.#deferredActions;
    this.#deferredActions = [];
    for (const act of actions) act();
  }

  /** Runs an action of the process itself, now or after `resume`. */
  whenRunning(act: () => void): void {
    switch (this.#state) {
      case ProcessState.Running:
        act();
        return;
      case ProcessState.Paused:
        this.#deferredActions.push(act);
        return;
      case ProcessState.Ended:
        return;
    }
  }

  /** Schedules the first alarm. */
  start(): void {
    this.#armAlarm();
  }

  #step(input: Input): void {
    const { decisions, time, perform, onInput } = this.#options;
    onInput?.(input);
    for (const output of decisions.step(time.now, input)) perform(output);
    this.#armAlarm();
  }

  #armAlarm(): void {
    const { decisions, time } = this.#options;
    const at = decisions.nextAlarm();
    if (at === undefined || at === this.#alarmAt) return;
    this.#alarmAt = at;
    time.after(at - time.now, () => this.#fireAlarm(at));
  }

  #fireAlarm(at: Milliseconds): void {
    if (this.#alarmAt !== at || this.#state !== ProcessState.Running) return;
    this.#alarmAt = undefined;
    this.#step(this.#options.createAlarm());
  }
}
