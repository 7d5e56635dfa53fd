/**
 * Installs the locked packages when none are installed or the lock file has changed since the last
 * installation, so that `npm start` and `npm test` work on a fresh clone.
 */
import { spawnSync } from "node:child_process";
import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { createHash } from "node:crypto";

const lock = createHash("sha256").update(readFileSync("package-lock.json"))
  .digest("hex");
const stamp = "node_modules/.installed_lock";
if (!existsSync(stamp) || readFileSync(stamp, "utf8") !== lock) {
  const result = spawnSync("npm", ["ci", "--no-audit", "--no-fund"], {
    stdio: ["ignore", "inherit", "inherit"],
  });
  if (result.status !== 0) process.exit(result.status ?? 1);
  writeFileSync(stamp, lock);
}
