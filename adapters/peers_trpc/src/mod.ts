/**
 * Calls between processes by tRPC over persistent connections.
 */
export * from "./trpc_peers.ts";
export {
  isDispatchReply,
  isDispatchRequest,
} from "./dispatch_message_checks.ts";
export { PeerMessageSchema } from "./peer_message_schema.ts";
