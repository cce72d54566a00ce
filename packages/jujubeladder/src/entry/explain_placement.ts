import { resolveSettings } from "@jujubeladder/configuration";
import type { Scheduler } from "@jujubeladder/scheduling";
import type { ConfigDocument } from "@jujubeladder/types";
import { describeRetries } from "./describe_retries.js";
import type { Explanation } from "./explanation.js";

const DEFAULT_PROMPT_TOKENS = 100;

/** Returns what would be decided about a hypothetical request. */
export function explainPlacement(
  query: Readonly<Record<string, unknown>>,
  document: ConfigDocument | undefined,
  getScheduler: (serviceId: string) => Scheduler,
): Explanation {
  const serviceId = String(query["service"] ?? "");
  const service = document?.services.find((s) => s.serviceId === serviceId);
  if (!document || service?.type !== "engine") {
    return { type: "unknown_service" };
  }
  const teamId = String(query["team"] ?? "");
  const team = document.teams.find((entry) => entry.teamId === teamId);
  const requestedKind = service.kinds.find(
    (kind) => kind.kindId === query["kind"],
  );
  const kind = requestedKind ?? service.kinds[0];
  if (!kind) return { type: "unknown_service" };
  const settings = resolveSettings(document, { serviceId, teamId });
  const decision = getScheduler(serviceId).decide({
    requestId: "explain",
    serviceId,
    teamId,
    teamWeight: team?.weight ?? 1,
    kindId: kind.kindId,
    isShort: kind.isShort,
    promptTokens: Number(query["prompt_tokens"] ?? DEFAULT_PROMPT_TOKENS),
    maxTokens: settings.maxTokens,
    prefixKey: "",
    settings,
    excludedRunnerIds: new Set(),
  });
  const { isIdempotent } = service;
  const retries = describeRetries(isIdempotent, settings.maxAttempts);
  return { ...decision, retries };
}
