#!/usr/bin/env node
/**
 * Runs the stand-in log as a process.
 */
import { defineCommand, runMain } from "citty";
import { LogServer } from "./log_server.ts";

const command = defineCommand({
  meta: {
    name: "platform-log-stand-in",
    description: "Stands in for the platform's append-only log",
  },
  args: {
    port: { type: "string", default: "7100", description: "Port on loopback" },
    append: {
      type: "string",
      default: "4",
      description: "Time of a synced append, in milliseconds",
    },
    retained: {
      type: "string",
      default: "100000",
      description: "Records that are kept",
    },
  },
  run: async ({ args }) => {
    const server = await LogServer.listen(Number(args.port), {
      appendMilliseconds: Number(args.append),
      retainedRecords: Number(args.retained),
    });
    const stop = () =>
      void server[Symbol.asyncDispose]().then(() => process.exit(0));
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
    process.stdout.write(`listening on ${server.port}\n`);
  },
});

await runMain(command);
