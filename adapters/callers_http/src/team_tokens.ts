/**
 * Binds callers to their team by bearer token. A token is looked up by its digest, so that the duration
 * of the look-up reveals nothing about existing tokens.
 */
import { createHash } from "node:crypto";

/** Teams, indexed by the digest of their token. */
export class TeamTokens {
  readonly #teamsByDigest: ReadonlyMap<string, string>;

  /** @param tokens the token of each team */
  constructor(tokens: Readonly<Record<string, string>>) {
    this.#teamsByDigest = new Map(
      Object.entries(tokens).map(([team, token]) => [
        digest(`Bearer ${token}`),
        team,
      ]),
    );
  }

  /** Returns the team whose token an `Authorization` header carries. */
  teamOf(authorization: string | undefined): string | undefined {
    return this.#teamsByDigest.get(digest(authorization ?? ""));
  }
}

function digest(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
