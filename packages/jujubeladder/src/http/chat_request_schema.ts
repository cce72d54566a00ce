import { z } from "zod";

const MAX_MESSAGES = 1_000;

const textPart = z.object({ type: z.literal("text"), text: z.string() });

const content = z.union([
  z.string(),
  z
    .array(textPart)
    .transform((parts) => parts.map((part) => part.text).join("")),
]);

/** Schema of a chat-completions request; unknown fields are ignored. */
export const chatRequestSchema = z.object({
  model: z.string(),
  messages: z
    .array(z.object({ role: z.string(), content }))
    .min(1)
    .max(MAX_MESSAGES),
  stream: z.boolean().optional(),
  max_tokens: z.number().int().positive().optional(),
  max_completion_tokens: z.number().int().positive().optional(),
  metadata: z.record(z.string(), z.string()).optional(),
});
