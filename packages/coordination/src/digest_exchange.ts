import type { Digest } from "@jujubeladder/protocol";
import type { DatagramEndpoint } from "./datagram_endpoint.js";

/** A cheap way to exchange digests that may fail at any time. */
export interface DigestExchange {
  /** Sends a digest; undefined if no answer arrives in time. */
  exchangeDigests(
    peer: DatagramEndpoint,
    digest: Digest,
  ): Promise<Digest | undefined>;
}
