import { resolveSettings } from "@jujubeladder/configuration";
import type { PlacementDecision, Scheduler } from "@jujubeladder/scheduling";
import type { ConfigDocument } from "@jujubeladder/types";

const DEFAULT_PROMPT_TOKENS = 100;

/** Returns the placement decision for a hypothetical request. */
export function explainPlacement(
  query: Readonly<Record<string, unknown>>,
  document: ConfigDocument | undefined,
  getScheduler: (serviceId: string) => Scheduler,
): PlacementDecision | { readonly type: "unknown_service" } {
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
  return getScheduler(serviceId).decide({
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
}
