import { z } from "zod";

/** Schema of an engine's cache events response. */
export const cacheEventsSchema = z.object({
  lastSequence: z.number().int().nonnegative(),
  events: z.array(
    z.object({
      sequence: z.number().int().positive(),
      type: z.enum(["stored", "evicted"]),
      prefixKey: z.string(),
    }),
  ),
});
