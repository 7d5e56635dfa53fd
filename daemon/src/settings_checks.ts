/**
 * Checks of rules between several settings.
 */
import type { Milliseconds } from "@eelgrassfront/model";
import { type Address, formatAddress } from "@eelgrassfront/settings-ini";
import type * as zod from "zod";

/** The settings that are checked against each other. */
export interface CheckedSettings {
  readonly peers: { readonly listen: Address };
  readonly operators: { readonly listen: Address };
  readonly platform_log: { readonly read_wait: Milliseconds };
  readonly ownership: { readonly shards: number; readonly owners: number };
  readonly timing: {
    readonly heartbeat: Milliseconds;
    readonly unreachable: Milliseconds;
    readonly lease: Milliseconds;
    readonly removal: Milliseconds;
    readonly horizon: Milliseconds;
  };
  readonly callers?: {
    readonly listen: Address;
    readonly maximum_deadline: Milliseconds;
    readonly maximum_body: number;
    readonly maximum_bodies: number;
  };
}

interface Check {
  readonly path: readonly [string, string];
  readonly isSatisfied: boolean;
  readonly allowed: string;
}

/** Adds an issue for each violated rule between settings, provided that each setting is valid by itself. */
export function checkSettings(
  payload: zod.core.ParsePayload<CheckedSettings>,
): void {
  if (payload.issues.length > 0) return;
  const settings = payload.value;
  for (const check of [...timingChecks(settings), ...otherChecks(settings)]) {
    if (check.isSatisfied) continue;
    payload.issues.push({
      code: "custom",
      input: settings,
      path: [...check.path],
      message: check.allowed,
    });
  }
}

function timingChecks({ timing, callers }: CheckedSettings): readonly Check[] {
  const { heartbeat, unreachable, lease, removal, horizon } = timing;
  return [
    {
      path: ["timing", "unreachable"],
      isSatisfied: unreachable >= 2 * heartbeat,
      allowed: "at least twice timing.heartbeat, so that one may be lost",
    },
    {
      path: ["timing", "lease"],
      isSatisfied: lease >= 2 * heartbeat,
      allowed: "at least twice timing.heartbeat, so that one may be lost",
    },
    {
      path: ["timing", "removal"],
      isSatisfied: removal > unreachable && removal > lease,
      allowed: "more than timing.unreachable and timing.lease",
    },
    {
      path: ["timing", "horizon"],
      isSatisfied: horizon > removal &&
        horizon >= 2 * (callers?.maximum_deadline ?? 0),
      allowed:
        "more than timing.removal and at least twice callers.maximum_deadline, so that records outlive resubmissions",
    },
  ];
}

function otherChecks(settings: CheckedSettings): readonly Check[] {
  const { ownership, peers, operators, callers } = settings;
  const { platform_log: log, timing } = settings;
  const operatorsAddress = formatAddress(operators.listen);
  const callersAddress = callers && formatAddress(callers.listen);
  const peersAddress = formatAddress(peers.listen);
  return [
    {
      path: ["platform_log", "read_wait"],
      isSatisfied: 2 * log.read_wait <= timing.lease,
      allowed:
        "at most half of timing.lease, so that one read confirms the view until the next",
    },
    {
      path: ["ownership", "owners"],
      isSatisfied: ownership.owners <= ownership.shards,
      allowed: "at most ownership.shards",
    },
    {
      path: ["callers", "maximum_bodies"],
      isSatisfied: callers === undefined ||
        callers.maximum_bodies >= callers.maximum_body,
      allowed: "at least callers.maximum_body",
    },
    {
      path: ["operators", "listen"],
      isSatisfied: operatorsAddress !== peersAddress,
      allowed: "another address than peers.listen",
    },
    {
      path: ["callers", "listen"],
      isSatisfied: callersAddress !== peersAddress &&
        callersAddress !== operatorsAddress,
      allowed: "another address than peers.listen and operators.listen",
    },
  ];
}
