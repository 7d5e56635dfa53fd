/**
 * tRPC router for peers: one typed procedure that carries any request between processes and returns its
 * reply.
 */
import type {
  ProcessIdentifier,
  RequestIdentifier,
} from "@eelgrassfront/model";
import {
  type inferRouterInputs,
  type inferRouterOutputs,
  initTRPC,
  TRPCError,
} from "@trpc/server";
import { fieldsOf, isInteger } from "./field_checks.ts";

/** Any message between processes. */
export interface PeerMessage {
  readonly kind: string;
}

/** A request on its way from one process to another. */
export interface PeerEnvelope {
  readonly from: ProcessIdentifier;
  readonly to: ProcessIdentifier;
  readonly request: RequestIdentifier;
  readonly message: PeerMessage;
}

/** Handlers that `TrpcPeers` passes to the procedures. */
export interface PeerContext {
  /** Whether this process accepts a request. */
  readonly isRequest: (message: PeerMessage) => boolean;
  /** Passes a request to the decisions, which call `reply` once. */
  readonly accept: (
    envelope: PeerEnvelope,
    reply: (message: PeerMessage) => void,
  ) => void;
}

/** Path of the procedure that carries requests. */
export const DELIVER_PATH = "deliver";

/**
 * Checks the argument of a call.
 *
 * @throws when a value is not a request with its sender and receiver
 */
export function parseEnvelope(value: unknown): PeerEnvelope {
  const { from, to, request, message } = fieldsOf(value) ?? {};
  const isValid = isIdentifier(from) && isIdentifier(to) &&
    isInteger(request) && isMessage(message);
  if (!isValid) throw new Error("the argument of a call is no request");
  return { from, to, request, message };
}

/**
 * Passes a request to the decisions; `reply` is called with their reply.
 *
 * @throws when this process does not accept the request
 */
export function deliver(
  context: PeerContext,
  envelope: PeerEnvelope,
  reply: (message: PeerMessage) => void,
): void {
  if (!context.isRequest(envelope.message)) {
    throw new TRPCError({ code: "BAD_REQUEST" });
  }
  context.accept(envelope, reply);
}

const trpc = initTRPC.context<PeerContext>().create();

/** The procedures that peers call. */
export const peerRouter = trpc.router({
  [DELIVER_PATH]: trpc.procedure
    .input(parseEnvelope)
    .mutation(({ ctx, input }) =>
      new Promise<PeerMessage>((resolve) => deliver(ctx, input, resolve))
    ),
});

/** Type of the router, for typed clients. */
export type PeerRouter = typeof peerRouter;

/** Argument of a call. */
export type PeerArguments = inferRouterInputs<PeerRouter>[typeof DELIVER_PATH];

/** Result of a call. */
export type PeerResult = inferRouterOutputs<PeerRouter>[typeof DELIVER_PATH];

function isIdentifier(value: unknown): value is ProcessIdentifier {
  return typeof value === "string" && value.includes("~");
}

function isMessage(value: unknown): value is PeerMessage {
  return typeof value === "object" && value !== null && "kind" in value &&
    typeof value.kind === "string";
}
