/**
 * Refuses a submission of an unknown kind of work before any task is placed.
 */
import { AdmissionKind, decideAdmission } from "@eelgrassfront/admission";
import { Idempotence } from "@eelgrassfront/model";

const admission = decideAdmission({
  team: "assessors",
  idempotencyKey: "dossier-4711",
  digest: "",
  kindOfWork: "unheard-of",
  idempotence: Idempotence.Idempotent,
  deadlineMilliseconds: 1_000,
  requirements: { processorCores: 0, memoryMegabytes: 0, accelerators: 0 },
  tasks: [{ payload: "1", declaredMilliseconds: 50 }],
}, {
  configuration: {
    kindsOfWork: [],
    teams: [],
    limits: { maximumTasksPerJob: 220, retryBudget: 0, maximumQueuedTasks: 1 },
  },
  queuedTasks: 0,
  teamTasksInFlight: 0,
  quotaShare: 1,
  remainingMilliseconds: 1_000,
  estimateDrain: () => ({
    waitingTasks: 0,
    waitingSubmissions: 0,
    slots: 1,
    share: 1,
    runMilliseconds: 50,
  }),
  isCapableWorkerKnown: () => true,
});
if (admission.kind === AdmissionKind.Refused) console.log(admission.reason);
// prints: unknown-kind-of-work
