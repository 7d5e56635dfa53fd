/**
 * Requests of an entry that concern its sessions with sidecars, until they are answered or lost.
 */
import {
  type DispatchOutput,
  type DispatchRequest,
  type OutputCollector,
  OutputKind,
  type RequestIdentifier,
  type SessionNumber,
} from "@eelgrassfront/model";
import type { WorkerLinkState } from "./worker_link_state.ts";

/** What a request is for. */
export enum CallPurpose {
  Open = "open",
  Renew = "renew",
  Watch = "watch",
}

/** A request without a reply. */
export interface PendingCall {
  readonly purpose: CallPurpose;
  readonly address: string;
  readonly session: SessionNumber;
}

/** Sends requests and keeps them until they are answered or lost. */
export class LinkCalls {
  readonly #collector: OutputCollector<DispatchOutput>;
  readonly #calls = new Map<RequestIdentifier, PendingCall>();

  constructor(collector: OutputCollector<DispatchOutput>) {
    this.#collector = collector;
  }

  /** Returns whether a request was sent from here and has no reply yet. */
  owns(request: RequestIdentifier): boolean {
    return this.#calls.has(request);
  }

  /** Removes and returns a request that was answered, lost or given up. */
  take(request: RequestIdentifier): PendingCall | undefined {
    const call = this.#calls.get(request);
    this.#calls.delete(request);
    return call;
  }

  /** Sends a request to the sidecar of a link. */
  send(
    link: WorkerLinkState,
    purpose: CallPurpose,
    session: SessionNumber,
    message: DispatchRequest,
  ): RequestIdentifier {
    const request = this.#collector.nextRequest();
    this.#calls.set(request, { purpose, address: link.address, session });
    this.#collector.add({
      kind: OutputKind.SendRequest,
      request,
      peer: link.process,
      address: link.address,
      message,
    });
    return request;
  }
}
