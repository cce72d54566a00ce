import { z } from "zod";

const positiveMs = z.number().int().positive();

/** Schema of the settings that apply to one request. */
export const requestSettingsSchema = z.strictObject({
  maxAttempts: z.number().int().min(1).max(10),
  retryBudgetPercent: z.number().min(0).max(100),
  silenceMs: positiveMs,
  resumeWindowMs: positiveMs,
  queueTimeoutMs: positiveMs,
  requestTimeoutMs: positiveMs,
  maxTokens: z.number().int().positive(),
  admissionQuantile: z.number().min(0.05).max(0.999),
  maxTeamShare: z.number().min(0.01).max(1),
});
