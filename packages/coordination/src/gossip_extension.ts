import type { MessageInitShape } from "@bufbuild/protobuf";
import type {
  Digest,
  MemberSchema,
  RunnerShareSchema,
} from "@jujubeladder/protocol";
import type { ClockReading } from "@jujubeladder/utils";

/** News beside the common ones that a digest carries. */
export interface GossipExtension {
  describe(): {
    readonly confirmedAgeMs?: number;
    readonly knownInstances: number;
    readonly members: MessageInitShape<typeof MemberSchema>[];
    readonly runnerShares: MessageInitShape<typeof RunnerShareSchema>[];
  };
  /**
   * Takes a peer's digest. `sentAt` is when the call was sent that the digest
   * answers; it is absent when the peer was the one who called.
   */
  merge(digest: Digest, sentAt?: ClockReading): void;
}
