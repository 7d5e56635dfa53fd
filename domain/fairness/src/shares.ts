/**
 * Shares of kinds of work and teams, from the weights and floors of the configuration.
 */
import type { Configuration, KindOfWork } from "@eelgrassfront/model";

/** Shares that a queue works by; each is greater than 0. */
export interface Shares {
  readonly ofKind: (kindOfWork: string) => number;
  readonly ofTeam: (team: string) => number;
}

/** The same share for everybody. */
export const EQUAL_SHARES: Shares = { ofKind: () => 1, ofTeam: () => 1 };

const SMALLEST_SHARE = 0.001;

/** Returns the shares that a configuration gives. */
export function computeShares(configuration: Configuration): Shares {
  const kinds = shareKinds(configuration.kindsOfWork);
  const teams = new Map(
    configuration.teams.map(({ name, weight }) => [name, weight]),
  );
  return {
    ofKind: (name) => atLeast(kinds.get(name) ?? 0),
    ofTeam: (name) => atLeast(teams.get(name) ?? 1),
  };
}

/**
 * Kinds whose weight gives less than their floor get the floor, and the others share the rest by
 * weight; what they then have may fall below a floor, so that it is done again until nothing changes.
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

function total(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

function atLeast(share: number): number {
  return Math.max(share, SMALLEST_SHARE);
}
