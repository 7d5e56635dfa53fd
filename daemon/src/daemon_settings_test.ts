/**
 * Settings of the daemon: each fault is reported in one line with the file, the key, the value found and
 * the values allowed.
 */
import { spawnSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { describe, it } from "node:test";
import { fileURLToPath } from "node:url";
import { Role } from "@eelgrassfront/model";
import {
  describeFault,
  IniLines,
  type SettingsFault,
  SettingsResultKind,
} from "@eelgrassfront/settings-ini";
import { expect } from "earl";
import { readDaemonSettings, settingsKeys } from "./daemon_settings.ts";

const EXAMPLES: Readonly<Record<Role, string>> = {
  [Role.Entry]: readDocument("examples/entry.ini"),
  [Role.Sidecar]: readDocument("examples/sidecar.ini"),
};

function readDocument(name: string): string {
  const url = new URL(`../../docs/${name}`, import.meta.url);
  return readFileSync(url, "utf8");
}

/** Returns the faults of an example in which one text is replaced. */
function faultsOf(found: string, replacement: string): readonly string[] {
  const text = EXAMPLES[Role.Entry].replace(found, replacement);
  const result = readDaemonSettings("entry.ini", text);
  if (result.kind === SettingsResultKind.Read) return [];
  return result.faults.map((fault) => {
    expectPlace(text, fault);
    const { line: _line, ...described } = fault;
    return describeFault(described);
  });
}

/** Checks that a fault has the line of its key, or of its section when the key is missing. */
function expectPlace(text: string, { key, line }: SettingsFault): void {
  const [section = "", name = ""] = key.split(".");
  if (line === undefined) {
    expect(text).not.toInclude(`[${section}]`);
    return;
  }
  const lines = text.split("\n");
  const heading = lines.slice(0, line).findLast((content) =>
    content.startsWith("[")
  );
  expect(heading).toEqual(`[${section}]`);
  const found = lines[line - 1] ?? "";
  const isMissing = !text.includes(`${name} =`) || found === heading;
  expect(isMissing || found.startsWith(`${name} =`)).toEqual(true);
}

interface Case {
  readonly title: string;
  readonly found: string;
  readonly replacement: string;
  readonly faults: readonly string[];
}

const INVALID_CASES: readonly Case[] = [
  {
    title: "an unknown role",
    found: "role = entry",
    replacement: "role = leader",
    faults: [
      'entry.ini: process.role: found "leader"; allowed: entry, sidecar',
    ],
  },
  {
    title: "an unknown key",
    found: "read_wait = 500ms",
    replacement: "read_wait = 500ms\nretries = 3",
    faults: [
      "entry.ini: platform_log.retries: found an unknown key; allowed: origin, read_wait, retention",
    ],
  },
  {
    title: "a key of another role",
    found: "[teams]",
    replacement: "[runner]\nqueued_tasks = 1\n[teams]",
    faults: [
      "entry.ini: runner: found an unknown key; allowed: process, peers, operators, platform_log, ownership, timing, metrics, callers, teams",
    ],
  },
  {
    title: "a wrong unit",
    found: "heartbeat = 250ms",
    replacement: "heartbeat = 250m",
    faults: [
      'entry.ini: timing.heartbeat: found "250m"; allowed: a duration such as 250ms, 5s or 10min',
    ],
  },
  {
    title: "a number without a unit",
    found: "maximum_body = 8MiB",
    replacement: "maximum_body = 8",
    faults: [
      'entry.ini: callers.maximum_body: found "8"; allowed: a size such as 512B, 64KiB or 8MiB',
    ],
  },
  {
    title: "a missing address",
    found: "listen = 10.0.1.10:8080\n",
    replacement: "",
    faults: [
      "entry.ini: callers.listen: found nothing; allowed: an address such as 127.0.0.1:7000",
    ],
  },
  {
    title: "a host name in place of an IP number",
    found: "10.0.1.10:8080",
    replacement: "localhost:8080",
    faults: [
      'entry.ini: callers.listen: found "localhost:8080"; allowed: an IP number and a port, such as 127.0.0.1:7000',
    ],
  },
  {
    title: "a missing section",
    found: "[operators]\nlisten = 10.0.1.10:7200\ntoken = replace-this-token\n",
    replacement: "",
    faults: [
      "entry.ini: operators: found nothing; allowed: a section with the keys listen, token",
    ],
  },
  {
    title: "an origin with a path",
    found: "http://10.0.0.5:9000",
    replacement: "http://10.0.0.5:9000/log",
    faults: [
      'entry.ini: platform_log.origin: found "http://10.0.0.5:9000/log"; allowed: an origin such as http://127.0.0.1:7000, without a path',
    ],
  },
  {
    title: "a duplicate key",
    found: "owners = 3",
    replacement: "owners = 3\nowners = 4",
    faults: [
      "entry.ini: ownership.owners: found a duplicate key; allowed: once; already set in line 23",
    ],
  },
  {
    title: "a short token, without showing it",
    found: "token = replace-this-token\n",
    replacement: "token = hush\n",
    faults: [
      "entry.ini: operators.token: found a value that is not shown; allowed: a text of at least 8 characters",
    ],
  },
  {
    title: "a team's short token, without showing it",
    found: "replace-this-token-b",
    replacement: "hush",
    faults: [
      "entry.ini: teams.handlers: found a value that is not shown; allowed: a text of at least 8 characters",
    ],
  },
  {
    title: "a lease that expires after one lost heartbeat",
    found: "lease = 1s",
    replacement: "lease = 300ms",
    faults: [
      'entry.ini: timing.lease: found "300ms"; allowed: at least twice timing.heartbeat, so that one may be lost',
      'entry.ini: platform_log.read_wait: found "500ms"; allowed: at most half of timing.lease, so that one read confirms the view until the next',
    ],
  },
  {
    title: "a horizon below twice the maximum deadline",
    found: "maximum_deadline = 5min",
    replacement: "maximum_deadline = 6min",
    faults: [
      'entry.ini: timing.horizon: found "10min"; allowed: more than timing.removal and at least twice callers.maximum_deadline, so that records outlive resubmissions',
    ],
  },
  {
    title: "a read wait longer than half of the lease",
    found: "read_wait = 500ms",
    replacement: "read_wait = 501ms",
    faults: [
      'entry.ini: platform_log.read_wait: found "501ms"; allowed: at most half of timing.lease, so that one read confirms the view until the next',
    ],
  },
  {
    title: "a limit for all bodies below the limit for one",
    found: "maximum_bodies = 64MiB",
    replacement: "maximum_bodies = 1MiB",
    faults: [
      'entry.ini: callers.maximum_bodies: found "1MiB"; allowed: at least callers.maximum_body',
    ],
  },
  {
    title: "two interfaces on one address",
    found: "10.0.1.10:8080",
    replacement: "10.0.1.10:7200",
    faults: [
      'entry.ini: callers.listen: found "10.0.1.10:7200"; allowed: another address than peers.listen and operators.listen',
    ],
  },
  {
    title: "more owners than shards",
    found: "owners = 3",
    replacement: "owners = 65",
    faults: [
      'entry.ini: ownership.owners: found "65"; allowed: at most ownership.shards',
    ],
  },
];

describe("settings of the daemon", () => {
  for (const { title, found, replacement, faults } of INVALID_CASES) {
    it(`finds ${title}`, () => {
      expect(faultsOf(found, replacement)).toEqual([...faults]);
    });
  }

  it("finds every fault at once", () => {
    const faults = faultsOf("read_wait = 500ms", "read_wait = 5\nretries = 3");
    expect(faults.length).toEqual(2);
  });

  it("ends the daemon with exit code 2 and one line per fault", () => {
    const folder = mkdtempSync(join(tmpdir(), "eelgrassfront-"));
    try {
      const file = join(folder, "faulty.ini");
      writeFileSync(file, "[process]\nrole = leader\n");
      const daemon = fileURLToPath(new URL("main.js", import.meta.url));
      const ended = spawnSync(process.execPath, [daemon, "--settings", file]);
      expect(ended.status).toEqual(2);
      expect(ended.stderr.toString("utf8")).toEqual(
        `${file}:2: process.role: found "leader"; allowed: entry, sidecar\n`,
      );
    } finally {
      rmSync(folder, { recursive: true });
    }
  });

  for (const role of Object.values(Role)) {
    it(`accepts the example of the role ${role}, which has every key`, () => {
      const text = EXAMPLES[role];
      const result = readDaemonSettings(`${role}.ini`, text);
      expect(result.kind).toEqual(SettingsResultKind.Read);
      const found = new IniLines(text).keys();
      for (const [section, keys] of settingsKeys(role)) {
        for (const key of keys) expect(found).toInclude(`${section}.${key}`);
      }
    });
  }

  it("has every key in the reference of docs/OPERATIONS.md, and no other", () => {
    const rows = readDocument("OPERATIONS.md")
      .matchAll(/^\| `([a-z_]+)` +\| `([a-z_]+)` +\| (entry|sidecar|both) /gm);
    const documented = [...rows].flatMap(([, section, key, roles]) => {
      const isOf = (role: Role) => roles === "both" || roles === role;
      return Object.values(Role).filter(isOf)
        .map((role) => `${role}: ${section}.${key}`);
    });
    const allowed = Object.values(Role).flatMap((role) =>
      [...settingsKeys(role)].flatMap(([section, keys]) =>
        keys.map((key) => `${role}: ${section}.${key}`)
      )
    );
    expect(documented.sort()).toEqual(allowed.sort());
  });
});
