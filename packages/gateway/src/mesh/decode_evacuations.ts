import type { Evacuations as EvacuationsMessage } from "@jujubeladder/protocol";
import type { Evacuations } from "../model/evacuations.js";
import { toStorePosition } from "./to_store_position.js";

/** More than any deployment has availability zones. */
const MAX_ZONES = 256;
const MAX_NAME_LENGTH = 200;

/**
 * Decodes the evacuated availability zones that a peer knows of; undefined if
 * there are none, or if they are out of range.
 */
export function decodeEvacuations(
  message: EvacuationsMessage | undefined,
): Evacuations | undefined {
  if (!message || message.zones.length > MAX_ZONES) return undefined;
  const { zones, era, asOf: revision } = message;
  const asOf = toStorePosition({ era, revision }, 0);
  const areNames = zones.every((zone) => zone.length <= MAX_NAME_LENGTH);
  return asOf && areNames ? { zones, asOf } : undefined;
}
