/**
 * Shares of kinds of work and of teams, computed from the weights and floors of the configuration.
 */
import type { Configuration, KindOfWork } from "@eelgrassfront/model";

/** Shares of kinds of work and teams; each share is greater than 0. */
export interface Shares {
  readonly ofKind: (kindOfWork: string) => number;
  readonly ofTeam: (team: string) => number;
}

/** Equal shares for all kinds of work and all teams. */
export const EQUAL_SHARES: Shares = { ofKind: () => 1, ofTeam: () => 1 };

/** Lower bound of every share: shares are divisors, so none may be 0. */
const SMALLEST_SHARE = 0.001;
/** Upper bound of weights and floors, so that their sums remain finite. */
const LARGEST_NUMBER = 1e9;

/** Returns the shares that a configuration defines. */
export function computeShares(configuration: Configuration): Shares {
  const kinds = shareKinds(configuration.kindsOfWork.map(withFiniteNumbers));
  const teams = new Map(
    configuration.teams.map(({ name, weight }) => [name, finiteOf(weight)]),
  );
  return {
    ofKind: (name) => clampShare(kinds.get(name) ?? 0),
    ofTeam: (name) => clampShare(teams.get(name) ?? 1),
  };
}

/**
 * Computes the shares of kinds of work. A kind whose weight yields less than its floor gets the floor, and
 * the others divide the rest by weight. Some of these may thereby fall below their own floor, so the
 * division is repeated until it is stable.
 */
function shareKinds(
  kinds: readonly KindOfWork[],
): ReadonlyMap<string, number> {
  const floored = new Set<KindOfWork>();
  for (;;) {
    const rest = 1 - total([...floored].map(({ floor }) => floor));
    const weighted = kinds.filter((kind) => !floored.has(kind));
    const weights = total(weighted.map(({ weight }) => weight));
    const shareOf = ({ weight }: KindOfWork) =>
      weights === 0 ? 0 : Math.max(0, rest) * weight / weights;
    const below = weighted.filter((kind) => shareOf(kind) < kind.floor);
    if (below.length === 0) {
      return new Map(kinds.map((kind) => [
        kind.name,
        floored.has(kind) ? kind.floor : shareOf(kind),
      ]));
    }
    for (const kind of below) floored.add(kind);
  }
}

/** Replaces the numbers of another writer's record that are none: they would make the shares of all kinds NaN. */
function withFiniteNumbers(kind: KindOfWork): KindOfWork {
  const { weight, floor } = kind;
  return { ...kind, weight: finiteOf(weight), floor: finiteOf(floor) };
}

function finiteOf(value: number): number {
  return Number.isFinite(value) ? Math.min(value, LARGEST_NUMBER) : 0;
}

function total(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

function clampShare(share: number): number {
  return Math.max(share, SMALLEST_SHARE);
}
