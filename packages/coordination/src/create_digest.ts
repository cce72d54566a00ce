import { create } from "@bufbuild/protobuf";
import { DigestSchema, type Digest } from "@jujubeladder/protocol";
import { encodePartEvidence } from "./encode_part_evidence.js";
import { encodeSuspicions } from "./encode_suspicions.js";
import type { GossipState } from "./gossip_state.js";
import { PART_EVIDENCE_LIMITS } from "./part_evidence_limits.js";

const MAX_SUSPICIONS_SENT = 32;

/** Describes an instance's state to a peer. */
export function createDigest(state: GossipState, isLeaving: boolean): Digest {
  const leaving = state.leavingRunners.list();
  return create(DigestSchema, {
    sender: state.identity,
    availabilityZone: state.availabilityZone,
    region: state.region,
    ...state.extension?.describe(),
    isLeaving,
    revision: BigInt(state.revision()),
    documentHash: state.documentHash(),
    leavingRunners: leaving.map(({ runnerId }) => runnerId),
    leavingAgesMs: leaving.map(({ ageMs }) => Math.round(ageMs)),
    suspicions: encodeSuspicions(state.quarantine.list(MAX_SUSPICIONS_SENT)),
    ...encodePartEvidence(
      state.partEvidence?.list(PART_EVIDENCE_LIMITS.parts) ?? [],
    ),
    successions: state.successions.list().map((succession) => ({
      fromIncarnation: succession.fromIncarnation,
      successor: succession.successor,
      ageMs: Math.round(succession.ageMs),
    })),
  });
}
