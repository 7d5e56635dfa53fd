/**
 * Checks `docs/API.md` against the closed lists of reasons and their statuses.
 */
import { readFileSync } from "node:fs";
import { describe, it } from "node:test";
import {
  FailureReason,
  JobOutcomeKind,
  NotRunReason,
  RejectionReason,
  UnknownReason,
} from "@eelgrassfront/model";
import { expect } from "earl";
import { encodeRejection } from "./answer_encoding.ts";

const DOCUMENT = new URL("../../../docs/API.md", import.meta.url);
const text = readFileSync(DOCUMENT, "utf8");

/** Returns the text between a heading and the next one. */
function section(heading: string): string {
  const [, rest = ""] = text.split(`\n### ${heading}\n`);
  return rest.split(/\n##+ /)[0] ?? "";
}

function listed(heading: string): readonly string[] {
  return [...section(heading).matchAll(/`([a-z-]+)`/g)].map(([, name]) =>
    name ?? ""
  );
}

describe("docs/API.md", () => {
  const reasons: readonly (readonly [string, readonly string[]])[] = [
    [JobOutcomeKind.Failed, Object.values(FailureReason)],
    [JobOutcomeKind.NotRun, Object.values(NotRunReason)],
    [JobOutcomeKind.Unknown, Object.values(UnknownReason)],
  ];
  for (const [outcome, values] of reasons) {
    it(`lists each reason of ${outcome} once, and no other`, () => {
      const heading = `Reasons of \`${outcome}\``;
      expect([...listed(heading)].sort()).toEqual([...values].sort());
    });
  }

  it("lists the status of each rejection reason", () => {
    const rows = section("Reasons of `rejected`")
      .matchAll(/^\| `([a-z-]+)` +\| (\d{3}) /gm);
    const documented = [...rows].map(([, reason, status]) => [
      reason ?? "",
      Number(status),
    ]);
    const encoded = Object.values(RejectionReason).map((reason) => [
      reason as string,
      encodeRejection(reason, "").status,
    ]);
    expect(documented.sort()).toEqual(encoded.sort());
  });
});
