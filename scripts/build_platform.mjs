/**
 * Bundles the daemon for the users' platform into one file in `target/`. On a small VM, one file starts
 * several times faster than hundreds of modules.
 */
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { build } from "esbuild";

const root = join(import.meta.dirname, "..");

/** Returns the source of each workspace package by name, so that the bundle needs no other build. */
function packageSources() {
  const { workspaces } = readJson(root);
  const folders = workspaces.flatMap((pattern) =>
    pattern.endsWith("/*")
      ? readdirSync(join(root, pattern.slice(0, -2))).map((name) =>
        join(pattern.slice(0, -2), name)
      )
      : [pattern]
  );
  return new Map(
    folders.map((folder) => [
      readJson(join(root, folder)).name,
      join(root, folder, "src", "mod.ts"),
    ]),
  );
}

function readJson(folder) {
  return JSON.parse(readFileSync(join(folder, "package.json"), "utf8"));
}

const sources = packageSources();

/** Namespace that replaces the locales of zod, which are never shown and cost start time and memory. */
const EMPTY = "empty";

/**
 * Namespace that replaces undici by its connections, the only part in use. The main module of undici also loads
 * fetch, caches and WebSocket, which make up half of the bundle and of its start time.
 */
const CONNECTIONS_ONLY = "connections-only";
const UNDICI_CONNECTIONS = [
  'export { default as Pool } from "undici/lib/dispatcher/pool.js";',
  'export { default as Client } from "undici/lib/dispatcher/client.js";',
  'export { default as buildConnector } from "undici/lib/core/connect.js";',
].join("\n");

await build({
  entryPoints: [join(root, "daemon", "src", "dispatch_main.ts")],
  outfile: join(root, "target", "eelgrassfront.mjs"),
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  minifySyntax: true,
  minifyWhitespace: true,
  banner: {
    // CommonJS libraries load the built-in modules of Node with `require`.
    js: 'import { createRequire } from "node:module";' +
      "const require = createRequire(import.meta.url);",
  },
  plugins: [{
    name: "workspace-sources",
    setup: (setup) => {
      setup.onResolve({ filter: /^@eelgrassfront\// }, ({ path }) => ({
        path: sources.get(path),
      }));
      setup.onResolve(
        { filter: /^\.\.\/locales\/index\.js$/ },
        () => ({ path: "zod-locales", namespace: EMPTY }),
      );
      setup.onResolve(
        { filter: /^undici$/ },
        () => ({ path: "undici-connections", namespace: CONNECTIONS_ONLY }),
      );
      setup.onLoad({ filter: /.*/, namespace: CONNECTIONS_ONLY }, () => ({
        contents: UNDICI_CONNECTIONS,
        resolveDir: root,
      }));
      setup.onLoad({ filter: /.*/, namespace: EMPTY }, () => ({
        contents: "export {};",
      }));
    },
  }],
});
