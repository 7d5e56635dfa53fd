/**
 * Builds a process from its settings: the adapters, the state machine of its role and the event loop.
 * When the process ends, the adapter of the role is disposed of first, then the shared ones.
 */
import { randomBytes } from "node:crypto";
import { HttpBackendServer } from "@eelgrassfront/backend-server-http";
import { HttpCallers } from "@eelgrassfront/callers-http";
import { MonotonicClock } from "@eelgrassfront/clock";
import { EntryDecisions } from "@eelgrassfront/entry";
import { RoarrJournal } from "@eelgrassfront/journal-roarr";
import type { MembershipTiming } from "@eelgrassfront/membership";
import { HotShotsMetrics } from "@eelgrassfront/metrics-hot-shots";
import {
  assertNever,
  EventNumber,
  type ProcessIdentifier,
  processIdentifier,
  Role,
  Severity,
} from "@eelgrassfront/model";
import { HttpOperators } from "@eelgrassfront/operators-http";
import { PeerMessageSchema, TrpcPeers } from "@eelgrassfront/peers-trpc";
import { HttpPlatformLog } from "@eelgrassfront/platform-log-http";
import { formatAddress } from "@eelgrassfront/settings-ini";
import { SidecarDecisions } from "@eelgrassfront/sidecar";
import { ProcessSignals } from "@eelgrassfront/signals";
import type {
  DaemonSettings,
  EntrySettings,
  SidecarSettings,
} from "./daemon_settings.ts";
import { ProcessLoop } from "./process_loop.ts";
import { recordRejectedMessage } from "./rejected_message.ts";

const INCARNATION_BYTES = 6;

/** Runs a process until it stops; returns its exit code. */
export function runProcess(settings: DaemonSettings): Promise<number> {
  const incarnation = randomBytes(INCARNATION_BYTES).toString("hex");
  const self = processIdentifier(settings.process.name, incarnation);
  switch (settings.process.role) {
    case Role.Entry:
      return runEntry(self, settings as EntrySettings);
    case Role.Sidecar:
      return runSidecar(self, settings as SidecarSettings);
    default:
      return assertNever(settings.process);
  }
}

async function runEntry(
  self: ProcessIdentifier,
  settings: EntrySettings,
): Promise<number> {
  const { callers: limits, teams: teamTokens } = settings;
  await using shared = await openShared(self, settings);
  await using callers = await HttpCallers.listen({
    self,
    ...limits.listen,
    maximumBodyBytes: limits.maximum_body,
    maximumBodiesBytes: limits.maximum_bodies,
    maximumTasks: limits.maximum_tasks,
    maximumConnections: limits.maximum_connections,
    maximumDeadlineMilliseconds: limits.maximum_deadline,
    maximumHeaders: limits.maximum_headers,
    maximumHeaderBytes: limits.maximum_header_size,
    headersMilliseconds: limits.header_time,
    bodyMilliseconds: limits.body_time,
    ...(teamTokens === undefined ? {} : { teamTokens }),
  });
  const decisions = new EntryDecisions({
    self,
    availabilityZone: settings.process.availability_zone,
    address: formatAddress(settings.peers.listen),
    timing: timingOf(settings),
    seeds: (settings.peers.seeds ?? []).map(formatAddress),
    shardCount: settings.ownership.shards,
    maximumPending: limits.maximum_pending,
  });
  const running = new ProcessLoop(decisions, { ...shared.ports, callers })
    .run();
  shared.start(self);
  return shared.recordStop(self, await running);
}

async function runSidecar(
  self: ProcessIdentifier,
  settings: SidecarSettings,
): Promise<number> {
  await using shared = await openShared(self, settings);
  await using backendServer = new HttpBackendServer({
    origin: settings.backend_server.origin,
    connections: settings.backend_server.connections,
    descriptionMilliseconds: settings.backend_server.description_interval,
  });
  const decisions = new SidecarDecisions({
    self,
    availabilityZone: settings.process.availability_zone,
    address: formatAddress(settings.peers.listen),
    timing: timingOf(settings),
    seeds: (settings.peers.seeds ?? []).map(formatAddress),
    random: Math.random,
    shardCount: settings.ownership.shards,
    ownerCount: settings.ownership.owners,
    maximumAnswerBytes: settings.owner.kept_answers,
    maximumResultBytes: settings.runner.kept_results,
    maximumQueuedTasks: settings.runner.queued_tasks,
  });
  const ports = { ...shared.ports, backendServer };
  const running = new ProcessLoop(decisions, ports).run();
  shared.start(self);
  backendServer.start();
  return shared.recordStop(self, await running);
}

/** The ports that both roles have. */
class SharedPorts implements AsyncDisposable {
  readonly ports;
  readonly #platformLog: HttpPlatformLog;

  constructor(ports: OpenedPorts) {
    this.ports = ports;
    this.#platformLog = ports.platformLog;
  }

  /** Records the start event and starts to read the log. */
  start(self: ProcessIdentifier): void {
    this.ports.journal.record({
      number: EventNumber.ProcessStarted,
      severity: Severity.Information,
      message: "the process started",
      context: { process: self },
    });
    this.#platformLog.start();
  }

  /** Records the stop event; returns the exit code. */
  recordStop(self: ProcessIdentifier, exitCode: number): number {
    this.ports.journal.record({
      number: EventNumber.ProcessStopped,
      severity: Severity.Information,
      message: "the process stopped",
      context: { process: self, exitCode },
    });
    return exitCode;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const { clock, operators, peers, platformLog, signals } = this.ports;
    await signals[Symbol.asyncDispose]();
    await operators[Symbol.asyncDispose]();
    await clock[Symbol.asyncDispose]();
    await platformLog[Symbol.asyncDispose]();
    await peers[Symbol.asyncDispose]();
    await this.ports.metrics?.[Symbol.asyncDispose]();
  }
}

interface OpenedPorts {
  readonly clock: MonotonicClock;
  readonly peers: TrpcPeers;
  readonly platformLog: HttpPlatformLog;
  readonly operators: HttpOperators;
  readonly signals: ProcessSignals;
  readonly journal: RoarrJournal;
  readonly metrics?: HotShotsMetrics;
}

async function openShared(
  self: ProcessIdentifier,
  settings: DaemonSettings,
): Promise<SharedPorts> {
  const { operators, peers, platform_log: log, metrics } = settings;
  const journal = new RoarrJournal(self);
  const schema = new PeerMessageSchema();
  const opened = {
    clock: new MonotonicClock(),
    peers: await TrpcPeers.listen({
      self,
      ...peers.listen,
      sharedKey: peers.shared_key,
      isRequest: (message) => schema.isRequest(message),
      isReply: (message) => schema.isReply(message),
      onRejected: (detail) => recordRejectedMessage(journal, detail),
      silenceMilliseconds: settings.timing.removal,
    }),
    platformLog: new HttpPlatformLog({
      origin: log.origin,
      waitMilliseconds: log.read_wait,
    }),
    operators: await HttpOperators.listen({
      ...operators.listen,
      token: operators.token,
    }),
    signals: new ProcessSignals(),
    journal,
  };
  if (metrics === undefined) return new SharedPorts(opened);
  const { receiver } = metrics;
  const sender = new HotShotsMetrics({ self, ...receiver });
  return new SharedPorts({ ...opened, metrics: sender });
}

function timingOf(
  { timing, platform_log: log }: DaemonSettings,
): MembershipTiming {
  return {
    heartbeatMilliseconds: timing.heartbeat,
    unreachableMilliseconds: timing.unreachable,
    leaseMilliseconds: timing.lease,
    removalMilliseconds: timing.removal,
    horizonMilliseconds: timing.horizon,
    retentionMilliseconds: log.retention,
  };
}
