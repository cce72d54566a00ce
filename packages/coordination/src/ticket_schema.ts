import { z } from "zod";

const identity = z.object({
  instanceId: z.string(),
  incarnation: z.string(),
});

/** Schema of an unsealed ticket. */
export const ticketSchema = z.object({
  ticketId: z.string(),
  serviceId: z.string(),
  teamId: z.string(),
  method: z.string(),
  path: z.string(),
  owner: identity,
  witness: identity,
  expiresAtMs: z.number(),
});
