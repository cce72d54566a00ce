import { z } from "zod";

const name = z.string().regex(/^[A-Za-z0-9._-]{1,64}$/);
const port = z.coerce.number().int().min(1).max(65_535);
const durationMs = z.coerce.number().int().min(1).max(86_400_000);
const MIN_SECRET_LENGTH = 16;

/** Schema of the settings, parsed from the text of flags and variables. */
export const entrySettingsSchema = z.strictObject({
  instanceId: name,
  host: z.union([z.ipv4(), z.ipv6()]),
  callerPort: port,
  peerPort: port,
  adminPort: port,
  region: name,
  availabilityZone: name,
  platformUrl: z.url({ protocol: /^https?$/ }),
  platformWaitMs: durationMs.max(60_000),
  sealKeys: z
    .string()
    .transform((text) => text.split(",").map((key) => key.trim()))
    .pipe(z.array(z.string().min(MIN_SECRET_LENGTH)).min(1)),
  loadIntervalMs: durationMs,
  maxListAgeMs: durationMs,
  acceptWhileLeavingMs: z.coerce.number().int().min(0).max(600_000),
  ticketTtlMs: durationMs,
  ticketRetentionMs: durationMs,
});
