import { z } from "zod";

const state = z.enum(["live", "leaving"]);

/** Schema of the platform's instance list. */
export const instanceListSchema = z.object({
  version: z.number().int(),
  instances: z.array(
    z.object({
      instanceId: z.string(),
      host: z.string(),
      peerPort: z.number().int(),
      region: z.string(),
      availabilityZone: z.string(),
      state,
    }),
  ),
  runners: z.array(
    z.object({
      runnerId: z.string(),
      serviceId: z.string(),
      host: z.string(),
      port: z.number().int(),
      region: z.string(),
      availabilityZone: z.string(),
      state,
    }),
  ),
});
