import { create } from "@bufbuild/protobuf";
import { DigestSchema, type Digest } from "@jujubeladder/protocol";
import { createDigest } from "./create_digest.js";
import { encodeSuspicions } from "./encode_suspicions.js";
import type { GossipState } from "./gossip_state.js";

/**
 * Creates a digest that tells of some requests that runners were lost with. The
 * rest that may be long is left to regular digests, so that none is cut off.
 */
export function createLossReport(
  state: GossipState,
  isLeaving: boolean,
  fingerprints: readonly string[],
): Digest {
  const { suspicions } = create(DigestSchema, {
    suspicions: encodeSuspicions(state.quarantine.describe(fingerprints)),
  });
  return {
    ...createDigest(state, isLeaving),
    members: [],
    partSuspicions: [],
    runnerLosses: [],
    suspicions,
  };
}
