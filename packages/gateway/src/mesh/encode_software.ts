import type { MessageInitShape } from "@bufbuild/protobuf";
import type { DepartedSoftwareSchema } from "@jujubeladder/protocol";
import type { SoftwareSightings } from "../views/software_sightings.js";

/** With more of them, a digest does not tell for how long all are known. */
const MAX_DEPARTED = 8;

/** Encodes which software versions the services have had, for a peer. */
export function encodeSoftware(sightings: SoftwareSightings | undefined): {
  readonly softwareKnownMs?: number;
  readonly softwareEra?: bigint;
  readonly softwareAsOf?: bigint;
  readonly departedSoftware?: MessageInitShape<typeof DepartedSoftwareSchema>[];
} {
  const knownUpTo = sightings?.knownUpTo;
  if (!sightings || !knownUpTo || sightings.knownForMs === 0) return {};
  const departed = sightings.listDeparted();
  const departedSoftware = departed.slice(0, MAX_DEPARTED).map((software) => ({
    ...software,
    ageMs: Math.round(software.ageMs),
  }));
  return departed.length > MAX_DEPARTED
    ? { departedSoftware }
    : {
        departedSoftware,
        softwareKnownMs: Math.min(
          Math.floor(sightings.knownForMs),
          MAX_KNOWN_MS,
        ),
        softwareEra: BigInt(knownUpTo.era),
        softwareAsOf: BigInt(knownUpTo.revision),
      };
}

const MAX_KNOWN_MS = 3_600_000;
