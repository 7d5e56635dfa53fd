#!/usr/bin/env node
/**
 * Command that runs the stand-in for the platform's log.
 */
import { closeOnSignal } from "@eelgrassfront/stand-in-loopback-server";
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
      description: "Duration of a synced append, in milliseconds",
    },
    retained: {
      type: "string",
      default: "100000",
      description: "Number of latest records that are retained",
    },
  },
  run: async ({ args }) => {
    const server = await LogServer.listen(Number(args.port), {
      appendMilliseconds: Number(args.append),
      retainedRecords: Number(args.retained),
    });
    closeOnSignal(server);
  },
});

await runMain(command);
