#!/usr/bin/env node
/**
 * Command that runs the stand-in for a backend server.
 */
import { closeOnSignal } from "@eelgrassfront/stand-in-loopback-server";
import { defineCommand, runMain } from "citty";
import { BackendServer } from "./backend_server.ts";

const command = defineCommand({
  meta: {
    name: "backend-server-stand-in",
    description: "Stands in for a backend server",
  },
  args: {
    port: { type: "string", default: "7400", description: "Port on loopback" },
    service: {
      type: "string",
      default: "dossier",
      description: "Name of the service",
    },
    slots: { type: "string", default: "8", description: "Tasks at a time" },
    run: {
      type: "string",
      default: "50",
      description: "Run time of a task whose payload contains none, in ms",
    },
  },
  run: async ({ args }) => {
    const server = await BackendServer.listen(Number(args.port), {
      service: args.service,
      slots: Number(args.slots),
      processorCores: 32,
      memoryMegabytes: 131_072,
      accelerators: 0,
      runMilliseconds: Number(args.run),
    });
    closeOnSignal(server);
  },
});

await runMain(command);
