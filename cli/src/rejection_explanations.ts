/**
 * Explanations of the reasons why a request was rejected before it became a submission.
 */
import { RejectionReason } from "@eelgrassfront/model";
import type { Explanation } from "./explanation.ts";

/** Reasons why a request was rejected. */
export const REJECTION_EXPLANATIONS: Readonly<
  Record<RejectionReason, Explanation>
> = {
  [RejectionReason.TooManyConnections]: {
    meaning: "The entry has as many connections open as its settings allow.",
    action: "Reuse connections and open fewer, or use another entry.",
  },
  [RejectionReason.MalformedRequest]: {
    meaning: "The received data is not a complete HTTP request.",
    action: "Check the client and any proxy between it and the entry.",
  },
  [RejectionReason.HeadersTooLarge]: {
    meaning: "The request has too many headers, or they are too large.",
    action: "Send fewer headers, or raise the limits under [callers].",
  },
  [RejectionReason.HeadersTooSlow]: {
    meaning: "The headers did not arrive in time.",
    action: "Check the network between the client and the entry.",
  },
  [RejectionReason.UnsupportedContentType]: {
    meaning: "The body is not declared as JSON, or it is compressed.",
    action: "Send Content-Type: application/json without Content-Encoding.",
  },
  [RejectionReason.MalformedBody]: {
    meaning:
      "The body is truncated, not UTF-8, not JSON, nested too deep, or has an integer that would lose digits or a number that overflows.",
    action: "Correct the body as the detail says.",
  },
  [RejectionReason.DuplicateField]: {
    meaning:
      "A key occurs twice in one object, so that the intended value is ambiguous.",
    action: "Send each key once, within payloads too.",
  },
  [RejectionReason.BodyTooLarge]: {
    meaning: "The body is larger than the entry allows.",
    action: "Split the job, or raise maximum_body under [callers].",
  },
  [RejectionReason.BodyTooSlow]: {
    meaning: "The body did not arrive in time.",
    action: "Check the network between the client and the entry.",
  },
  [RejectionReason.MissingIdempotencyKey]: {
    meaning: "The submission has no Idempotency-Key.",
    action: "Choose a key for each submission and reuse it for resubmissions.",
  },
  [RejectionReason.InvalidIdempotencyKey]: {
    meaning:
      "The Idempotency-Key is not an identifier, or the header occurs twice.",
    action:
      "Send it once, with 1 to 128 letters, digits, dots, underscores or dashes.",
  },
  [RejectionReason.InvalidField]: {
    meaning: "A field is missing, unknown or out of range.",
    action: "Correct the fields that the detail names; see docs/API.md.",
  },
  [RejectionReason.TooManyTasks]: {
    meaning: "The job has more tasks than the entry allows.",
    action: "Split the job.",
  },
  [RejectionReason.Unauthorized]: {
    meaning: "The request has no token, or an unknown one.",
    action:
      "Send the token as bearer token; check the settings of the process.",
  },
  [RejectionReason.TeamNotAllowed]: {
    meaning: "The token belongs to another team.",
    action: "Use the token of the team that the request names.",
  },
  [RejectionReason.KeyReused]: {
    meaning: "The key was used before with different content.",
    action:
      "Use a new key for different content, or send the same content again.",
  },
  [RejectionReason.NotFound]: {
    meaning: "There is no such path.",
    action: "See docs/API.md for the paths.",
  },
  [RejectionReason.MethodNotAllowed]: {
    meaning: "The path does not support the method.",
    action: "See docs/API.md for the methods of each path.",
  },
  [RejectionReason.EntryLeaving]: {
    meaning: "The entry is being drained.",
    action:
      "Send the request to another entry; /ready shows this to the load balancer.",
  },
  [RejectionReason.EntryNotReady]: {
    meaning:
      "The entry has no configuration in force yet, or the fleet has no sidecar.",
    action:
      "Send the request to another entry; check that the log answers and a configuration is published.",
  },
  [RejectionReason.EntryBusy]: {
    meaning:
      "The entry has as many waiting requests, or as many bytes of bodies in transfer, as its settings allow.",
    action: "Try again later or at another entry; add entries if it continues.",
  },
};
