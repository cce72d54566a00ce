import { z } from "zod";
import { requestSettingsSchema } from "./request_settings_schema.js";

const id = z.string().regex(/^[A-Za-z0-9._-]{1,64}$/);
const weight = z.number().positive();

const kind = z.strictObject({ kindId: id, weight, isShort: z.boolean() });

const route = z.strictObject({
  method: z.enum(["GET", "PUT", "POST", "PATCH", "DELETE"]),
  pathPrefix: z.string().startsWith("/"),
  isIdempotent: z.boolean(),
});

const service = z.discriminatedUnion("type", [
  z.strictObject({
    type: z.literal("engine"),
    serviceId: id,
    isIdempotent: z.boolean(),
    kinds: z.array(kind).min(1),
  }),
  z.strictObject({
    type: z.literal("plain"),
    serviceId: id,
    routes: z.array(route).min(1),
  }),
]);

const exception = z.strictObject({
  exceptionId: id,
  reason: z.string().trim().min(1),
  serviceId: id.optional(),
  teamId: id.optional(),
  settings: requestSettingsSchema.partial(),
});

const target = z.strictObject({
  runnerId: id,
  model: id,
  version: id,
  adapters: z.array(id),
  role: id,
});

const team = z.strictObject({
  teamId: id,
  weight,
  tokenSha256: z.string().regex(/^[0-9a-f]{64}$/),
});

const objective = z.strictObject({
  stallTime: z.number().min(0),
  tailLatency: z.number().min(0),
  preemptions: z.number().min(0),
  crossRegionTraffic: z.number().min(0),
});

/** Schema of a configuration document. */
export const configDocumentSchema = z.strictObject({
  revision: z.number().int().positive(),
  publishedAtMs: z.number().int().nonnegative(),
  weightStoreLoadsPerMinute: z.number().positive(),
  defaults: requestSettingsSchema,
  objective,
  exceptions: z.array(exception),
  services: z.array(service).min(1),
  teams: z.array(team).min(1),
  targets: z.array(target),
});
