/**
 * Initial configuration of a local system.
 */
import type { Configuration } from "@eelgrassfront/model";

/** Two kinds of work and three teams. */
export const LOCAL_CONFIGURATION: Configuration = {
  kindsOfWork: [
    {
      name: "check",
      service: "dossier",
      weight: 2,
      floor: 0.3,
      maximumAttempts: 5,
      defaultDeadlineMilliseconds: 30_000,
      pricePerSecond: 40,
    },
    {
      name: "batch",
      service: "dossier",
      weight: 1,
      floor: 0.1,
      maximumAttempts: 5,
      defaultDeadlineMilliseconds: 60_000,
      pricePerSecond: 10,
    },
  ],
  teams: ["assessors", "dossiers", "secretaries"].map((name) => ({
    name,
    weight: 1,
    maximumTasksInFlight: 20_000,
  })),
  limits: {
    maximumTasksPerJob: 220,
    retryBudget: 0.1,
    maximumQueuedTasks: 20_000,
  },
};
