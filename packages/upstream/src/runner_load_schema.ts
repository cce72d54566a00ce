import { z } from "zod";

const count = z.number().nonnegative();

/** Schema of an engine's load report. */
export const runnerLoadSchema = z.object({
  runnerId: z.string(),
  incarnation: z.string(),
  isLeaving: z.boolean(),
  runningStreams: count,
  waitingStreams: count,
  usedTokens: count,
  capacityTokens: count,
  preemptions: count,
  fence: count,
  state: z.object({
    model: z.string(),
    version: z.string(),
    adapters: z.array(z.string()),
    role: z.string(),
  }),
});
