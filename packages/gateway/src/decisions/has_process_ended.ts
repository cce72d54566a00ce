import type { SourceSigns } from "../model/source_signs.js";
import type { SourceContact } from "./source_contact.js";

/**
 * Decides whether the process of a run's source has ended. Each sign but a new
 * start may also have another reason: a closed port that of a process which
 * finishes what it has begun, a removed entry that it is cut off from the store,
 * silence that it is out of reach. One that answers in any way lives.
 */
export function hasProcessEnded(
  contact: SourceContact,
  { presence, isPastExit }: SourceSigns,
): boolean {
  if (presence === "replaced") return true;
  const isRemoved = presence === "removed";
  switch (contact) {
    case "refused":
      return isRemoved || isPastExit;
    case "silent":
      return isRemoved && isPastExit;
    case "unknown":
    case "answered":
      return false;
  }
}
