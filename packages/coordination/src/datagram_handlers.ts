import type { Digest, ViewState } from "@jujubeladder/protocol";
import type { DatagramEndpoint } from "./datagram_endpoint.js";

/** Answers the datagrams of peers. */
export interface DatagramHandlers {
  readonly digest: (digest: Digest) => Digest;
  readonly viewQuery: (from: DatagramEndpoint) => ViewState;
  /** The peer's view has changed. */
  readonly viewAnnouncement: (from: DatagramEndpoint) => void;
}
