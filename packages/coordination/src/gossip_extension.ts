import type { MessageInitShape } from "@bufbuild/protobuf";
import type {
  DepartedSoftwareSchema,
  Digest,
  EvacuationsSchema,
  MemberSchema,
  RunnerRateSchema,
  RunnerShareSchema,
} from "@jujubeladder/protocol";
import type { ClockReading } from "@jujubeladder/utils";

/** Reads and merges the optional fields of a gossip digest. */
export interface GossipExtension {
  describe(): {
    readonly confirmedAgeMs?: number;
    readonly knownInstances: number;
    readonly storeEra?: bigint;
    readonly evacuations?: MessageInitShape<typeof EvacuationsSchema>;
    readonly members: MessageInitShape<typeof MemberSchema>[];
    readonly runnerShares: MessageInitShape<typeof RunnerShareSchema>[];
    readonly softwareKnownMs?: number;
    readonly softwareEra?: bigint;
    readonly softwareAsOf?: bigint;
    readonly departedSoftware?: MessageInitShape<
      typeof DepartedSoftwareSchema
    >[];
    readonly runnerRates?: MessageInitShape<typeof RunnerRateSchema>[];
  };
  /**
   * Merges a peer's digest. `sentAt` is when this instance sent the call that
   * the digest responds to; it is absent if the digest came with a peer's call.
   */
  merge(digest: Digest, sentAt?: ClockReading): void;
}
