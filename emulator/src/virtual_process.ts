/**
 * One process in virtual time: the real decisions behind fakes. It can be killed, or paused so that
 * what arrives waits.
 */
import type {
  Milliseconds,
  ProcessIdentifier,
  ProcessInput,
  ProcessOutput,
  StateMachine,
} from "@eelgrassfront/model";
import type { VirtualTime } from "./virtual_time.ts";

/** What a process needs. */
export interface VirtualProcessOptions<Input, Output> {
  readonly identifier: ProcessIdentifier;
  readonly decisions: StateMachine<Input, Output>;
  readonly time: VirtualTime;
  readonly perform: (output: Output) => void;
  readonly createAlarm: () => Input;
  readonly onInput?: (input: Input) => void;
}

/** Whether a process runs. */
export enum ProcessState {
  Running = "running",
  Paused = "paused",
  Ended = "ended",
}

/** Decisions with a virtual clock. */
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

  /** Whether the process runs. */
  get state(): ProcessState {
    return this.#state;
  }

  /** Gives the process an input. */
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

  /** Ends the process at once. */
  kill(): void {
    this.#state = ProcessState.Ended;
  }

  /** Freezes the process. */
  pause(): void {
    if (this.#state === ProcessState.Running) this.#state = ProcessState.Paused;
  }

  /** Lets a frozen process go on with what has arrived. */
  resume(): void {
    if (this.#state !== ProcessState.Paused) return;
    this.#state = ProcessState.Running;
    const inputs = this.#queuedInputs;
    this.#queuedInputs = [];
    for (const input of inputs) this.receive(input);
    this.#alarmAt = undefined;
    this.#armAlarm();
    const actions = this.#deferredActions;
    this.#deferredActions = [];
    for (const act of actions) act();
  }

  /** Does something that the process itself must do: at once, or when it goes on. */
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

  /** Sets the first alarm. */
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
