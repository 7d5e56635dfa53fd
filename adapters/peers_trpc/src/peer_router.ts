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
import * as zod from "zod";

/** Any message between processes. */
export interface PeerMessage {
  readonly kind: string;
}

/** Handlers that `TrpcPeers` passes to the procedures. */
export interface PeerContext {
  /** Whether this process accepts a request. */
  readonly isRequest: (message: PeerMessage) => boolean;
  /** Passes a request to the decisions; resolves with their reply. */
  readonly accept: (envelope: PeerEnvelope) => Promise<PeerMessage>;
}

const identifier = zod.custom<ProcessIdentifier>((value) =>
  typeof value === "string" && value.includes("~")
);
const message = zod.custom<PeerMessage>((value) =>
  typeof value === "object" && value !== null && "kind" in value &&
  typeof value.kind === "string"
);
const envelopeSchema = zod.object({
  from: identifier,
  to: identifier,
  request: zod.custom<RequestIdentifier>(Number.isSafeInteger),
  message,
});

/** A request on its way from one process to another. */
export type PeerEnvelope = zod.infer<typeof envelopeSchema>;

const trpc = initTRPC.context<PeerContext>().create();

/** The procedures that peers call. */
export const peerRouter = trpc.router({
  deliver: trpc.procedure
    .input(envelopeSchema)
    .mutation(({ ctx, input }) => {
      if (ctx.isRequest(input.message)) return ctx.accept(input);
      throw new TRPCError({ code: "BAD_REQUEST" });
    }),
});

/** Type of the router, for typed clients. */
export type PeerRouter = typeof peerRouter;

/** Argument of a call. */
export type PeerArguments = inferRouterInputs<PeerRouter>["deliver"];

/** Result of a call. */
export type PeerResult = inferRouterOutputs<PeerRouter>["deliver"];
