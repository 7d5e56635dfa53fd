/**
 * Binds callers to their team by bearer token. A token is looked up by its digest, so that the time of
 * the look-up tells nothing about the tokens that exist.
 */
import { createHash } from "node:crypto";

/** Teams by the token that their callers present. */
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

  /** The team whose token an `Authorization` header presents. */
  teamOf(authorization: string | undefined): string | undefined {
    return this.#teamsByDigest.get(digest(authorization ?? ""));
  }
}

function digest(text: string): string {
  return createHash("sha256").update(text).digest("hex");
}
