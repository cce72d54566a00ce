import { z } from "zod";
import type { StreamHandle } from "@jujubeladder/types";
import type { SealBox } from "@jujubeladder/utils";

const EVENT_ID = /^([A-Za-z0-9_-]+)\.(\d{1,9})$/;

const handleSchema = z.object({
  serviceId: z.string(),
  teamId: z.string(),
  runnerId: z.string(),
  host: z.string(),
  port: z.number(),
  generationId: z.string(),
});

/** Parses and unseals a stream's event id; undefined if it is not valid. */
export function parseEventId(
  eventId: string,
  handleSealBox: SealBox,
): { readonly handle: StreamHandle; readonly offset: number } | undefined {
  const match = EVENT_ID.exec(eventId);
  if (!match) return undefined;
  const [, sealed = "", offset = ""] = match;
  const parsed = handleSchema.safeParse(handleSealBox.open(sealed));
  return parsed.success
    ? { handle: parsed.data, offset: Number(offset) }
    : undefined;
}
