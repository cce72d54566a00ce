import type { PeerIdentity } from "@jujubeladder/types";
import type { GossipExtension } from "./gossip_extension.js";
import type { LeavingRunners } from "./leaving_runners.js";
import type { PartEvidence } from "./part_evidence.js";
import type { Quarantine } from "./quarantine.js";
import type { Successions } from "./successions.js";

/** Local state that gossip sends to peers and merges their digests into. */
export interface GossipState {
  readonly identity: PeerIdentity;
  readonly availabilityZone: string;
  readonly region: string;
  readonly leavingRunners: LeavingRunners;
  readonly quarantine: Quarantine;
  /** Without it, digests carry no parts, and those of peers are passed over. */
  readonly partEvidence?: PartEvidence;
  readonly successions: Successions;
  readonly revision: () => number;
  readonly documentHash: () => string;
  readonly offerDocument: (text: string) => void;
  /** Handles the optional fields of a digest. */
  readonly extension?: GossipExtension;
}
