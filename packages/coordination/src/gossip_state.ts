import type { PeerIdentity } from "@jujubeladder/types";
import type { GossipExtension } from "./gossip_extension.js";
import type { LeavingRunners } from "./leaving_runners.js";
import type { Quarantine } from "./quarantine.js";
import type { Successions } from "./successions.js";

/** The views that gossip reads from and merges into. */
export interface GossipState {
  readonly identity: PeerIdentity;
  readonly availabilityZone: string;
  readonly region: string;
  readonly leavingRunners: LeavingRunners;
  readonly quarantine: Quarantine;
  readonly successions: Successions;
  readonly revision: () => number;
  readonly documentHash: () => string;
  readonly offerDocument: (text: string) => void;
  /** Further news that instances exchange. */
  readonly extension?: GossipExtension;
}
