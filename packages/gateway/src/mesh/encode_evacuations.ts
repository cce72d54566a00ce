import type { MessageInitShape } from "@bufbuild/protobuf";
import type { EvacuationsSchema } from "@jujubeladder/protocol";
import type { Evacuations } from "../model/evacuations.js";

/** Encodes the evacuated availability zones for a peer, if any read told them. */
export function encodeEvacuations(evacuations: Evacuations | undefined): {
  readonly evacuations?: MessageInitShape<typeof EvacuationsSchema>;
} {
  if (!evacuations) return {};
  const { zones, asOf } = evacuations;
  return {
    evacuations: {
      zones: [...zones],
      era: BigInt(asOf.era),
      asOf: BigInt(asOf.revision),
    },
  };
}
