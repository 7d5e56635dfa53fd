/**
 * Builds a process for best-effort work from the settings of its VM: the adapters, the state machine of
 * its role and the event loop. When the process ends, the adapter of the role is disposed of first, then
 * the shared ones.
 */
import { randomBytes } from "node:crypto";
import { MonotonicClock } from "@eelgrassfront/clock";
import { DispatcherDecisions } from "@eelgrassfront/dispatcher";
import { RateLimitedJournal } from "@eelgrassfront/journal-roarr";
import { PrometheusMetrics } from "@eelgrassfront/metrics-prometheus";
import {
  assertNever,
  type DispatchReply,
  type DispatchRequest,
  EventNumber,
  type FleetMember,
  type ProcessIdentifier,
  processIdentifier,
  Role,
  Severity,
} from "@eelgrassfront/model";
import {
  isDispatchReply,
  isDispatchRequest,
  TrpcPeers,
} from "@eelgrassfront/peers-trpc";
import {
  ClientListener,
  formatHostAddress,
  type HostSettings,
  SettingsWatcher,
  StoreClient,
  StoreDirectory,
  WorkerChannel,
} from "@eelgrassfront/platform";
import { ProcessSignals } from "@eelgrassfront/signals";
import { WorkerGuardDecisions } from "@eelgrassfront/worker-guard";
import { DispatchLoop, type DispatchPorts } from "./dispatch_loop.ts";
import {
  recordInvalidRecord,
  recordRejectedMessage,
  recordRejection,
} from "./rejected_message.ts";

const INCARNATION_BYTES = 6;
/** Port on which every process serves its metrics; the deploy file contains the same number. */
const METRICS_PORT = 9_464;
/** Not a secret: the platform provides none, and its network lets only the system's VMs reach peer ports. */
const SHARED_KEY = "eelgrassfront";
/**
 * Time without any data after which a connection between peers is closed. The state machine ends
 * sessions sooner.
 */
const PEER_SILENCE_MILLISECONDS = 1_200;

/** Runs a process until it stops; returns its exit code. */
export async function runDispatchProcess(
  role: Role,
  settings: HostSettings,
): Promise<number> {
  const incarnation = randomBytes(INCARNATION_BYTES).toString("hex");
  const self = {
    process: processIdentifier(settings.vmName, incarnation),
    role,
    address: formatHostAddress(settings.peers),
    availabilityZone: settings.availabilityZone,
  };
  await using shared = await openShared(self, settings);
  switch (role) {
    case Role.Entry:
      return await runEntry(self, settings, shared);
    case Role.Sidecar:
      return await runSidecar(self, settings, shared);
    default:
      return assertNever(role);
  }
}

async function runEntry(
  self: FleetMember,
  settings: HostSettings,
  shared: SharedPorts,
): Promise<number> {
  const { clients, readiness } = settings;
  if (clients === undefined || readiness === undefined) {
    throw new Error("the settings contain no address for client accounts");
  }
  await using listener = await ClientListener.listen({
    clients,
    readiness,
    clientLimits: settings.clientLimits,
    readinessLimits: settings.singleLimits,
    onRejected: (rejection) => recordRejection(shared.ports, rejection),
  });
  const decisions = new DispatcherDecisions({
    self,
    seeds: settings.seeds,
    graceMilliseconds: settings.graceMilliseconds,
    resubmissionMilliseconds: settings.resubmissionMilliseconds,
  });
  const ports = { ...shared.ports, clients: listener };
  const running = new DispatchLoop(decisions, ports).run();
  return await shared.runToEnd(running);
}

async function runSidecar(
  self: FleetMember,
  settings: HostSettings,
  shared: SharedPorts,
): Promise<number> {
  if (settings.workerReports === undefined) {
    throw new Error("the settings contain no address for the worker's reports");
  }
  await using worker = await WorkerChannel.listen(settings.workerReports, {
    limits: settings.singleLimits,
    onRejected: (rejection) => recordRejection(shared.ports, rejection),
  });
  const decisions = new WorkerGuardDecisions({
    self,
    seeds: settings.seeds,
    firstFencingToken: Date.now(),
    leaseMilliseconds: settings.leaseMilliseconds,
    stopMilliseconds: settings.stopMilliseconds,
    graceMilliseconds: settings.graceMilliseconds,
    ...(settings.worker === undefined
      ? {}
      : { expectedWorker: settings.worker }),
  });
  const ports = { ...shared.ports, worker };
  const running = new DispatchLoop(decisions, ports).run();
  return await shared.runToEnd(running);
}

/**
 * Time that one read waits for a new configuration. It is short, so that an entry detects a connection to
 * the store on which no response arrives before the next version is due.
 */
const ENTRY_CONFIGURATION_WAIT_MILLISECONDS = 1_000;
/**
 * Time that one read waits for a new configuration. Longer for a sidecar, which keeps the configuration
 * only for entries that start while the store is unavailable.
 */
const SIDECAR_CONFIGURATION_WAIT_MILLISECONDS = 5_000;

/** Pause between two reads of the members; an entry needs a new sidecar within a fraction of a second. */
const ENTRY_MEMBERS_PAUSE_MILLISECONDS = 50;
/** The same for a sidecar, which contacts entries only while no entry has a session with it. */
const SIDECAR_MEMBERS_PAUSE_MILLISECONDS = 2_000;

function storeReadsOf(role: Role) {
  switch (role) {
    case Role.Entry:
      return {
        configurationWaitMilliseconds: ENTRY_CONFIGURATION_WAIT_MILLISECONDS,
        membersPauseMilliseconds: ENTRY_MEMBERS_PAUSE_MILLISECONDS,
      };
    case Role.Sidecar:
      return {
        configurationWaitMilliseconds: SIDECAR_CONFIGURATION_WAIT_MILLISECONDS,
        membersPauseMilliseconds: SIDECAR_MEMBERS_PAUSE_MILLISECONDS,
      };
    default:
      return assertNever(role);
  }
}

type DispatchPeers = TrpcPeers<DispatchRequest, DispatchReply>;

interface OpenedPorts extends DispatchPorts {
  readonly peers: DispatchPeers;
  readonly directory: StoreDirectory;
  readonly journal: RateLimitedJournal;
}

/** The ports that both roles have. */
class SharedPorts implements AsyncDisposable {
  readonly ports: OpenedPorts;
  readonly #self: ProcessIdentifier;
  readonly #store: StoreClient;

  constructor(
    self: ProcessIdentifier,
    ports: OpenedPorts,
    store: StoreClient,
  ) {
    this.#self = self;
    this.ports = ports;
    this.#store = store;
  }

  /** Reads the store until the process stops; returns the exit code. */
  async runToEnd(running: Promise<number>): Promise<number> {
    this.#record(EventNumber.ProcessStarted, "the process started");
    this.ports.directory.start();
    const exitCode = await running;
    this.#record(EventNumber.ProcessStopped, "the process stopped", exitCode);
    return exitCode;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const { clock, directory, journal, metrics, peers } = this.ports;
    await this.ports.signals[Symbol.asyncDispose]();
    await this.ports.settings[Symbol.asyncDispose]();
    await clock[Symbol.asyncDispose]();
    await directory[Symbol.asyncDispose]();
    await this.#store[Symbol.asyncDispose]();
    await peers[Symbol.asyncDispose]();
    await metrics[Symbol.asyncDispose]();
    await journal[Symbol.asyncDispose]();
  }

  #record(number: EventNumber, message: string, exitCode = 0): void {
    this.ports.journal.record({
      number,
      severity: Severity.Information,
      message,
      context: { process: this.#self, exitCode },
    });
  }
}

async function openShared(
  self: FleetMember,
  settings: HostSettings,
): Promise<SharedPorts> {
  const { host, port } = settings.peers;
  const store = new StoreClient(settings.storeAddress);
  const journal = new RateLimitedJournal(self.process);
  const metrics: PrometheusMetrics = await PrometheusMetrics.listen({
    host,
    port: METRICS_PORT,
    limits: settings.singleLimits,
    onRejected: (rejection) => recordRejection({ journal, metrics }, rejection),
  });
  const ports = {
    clock: new MonotonicClock(),
    peers: await TrpcPeers.listen<DispatchRequest, DispatchReply>({
      self: self.process,
      host,
      port,
      sharedKey: SHARED_KEY,
      isRequest: isDispatchRequest,
      isReply: isDispatchReply,
      onRejected: (detail) => recordRejectedMessage(journal, detail),
      silenceMilliseconds: PEER_SILENCE_MILLISECONDS,
    }),
    directory: new StoreDirectory({
      client: store,
      ...storeReadsOf(self.role),
      ...(self.role === Role.Sidecar ? { workerVm: settings.vmName } : {}),
      onInvalidRecord: (record) => recordInvalidRecord(journal, record),
    }),
    signals: new ProcessSignals(),
    settings: new SettingsWatcher(),
    journal,
    metrics,
  };
  return new SharedPorts(self.process, ports, store);
}
