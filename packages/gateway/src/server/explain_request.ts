import { estimateRetryAfterMs } from "../decisions/estimate_retry_after_ms.js";
import { combineAllowedRegions } from "../decisions/combine_allowed_regions.js";
import { findRoute } from "../decisions/find_route.js";
import type { GenerationWork } from "../model/generation_work.js";
import { monotonicMs } from "@jujubeladder/utils";
import type { PlacementScheduler } from "../relay/placement_scheduler.js";
import type { ActiveConfig } from "../views/active_config.js";

const STATUS_OK = 200;
const STATUS_BAD_REQUEST = 400;
const STATUS_NOT_FOUND = 404;
const DEFAULT_MAX_OUTPUT_TOKENS = 256;
const MAX_TOKENS = 2 ** 31 - 1;
/** Lists of more runners are cut; the first ones say why. */
const MAX_RUNNERS = 500;

/** Text to send, with the status that belongs to it. */
interface Answer {
  readonly statusCode: number;
  readonly text: string;
}

/**
 * Explains where a request would go now, and why, without sending it. The query
 * names `host` and `path`, and may name `team`, `prompt_tokens` and `max_tokens`.
 */
export function explainRequest(
  query: URLSearchParams,
  dependencies: {
    readonly activeConfig: ActiveConfig;
    readonly scheduler: PlacementScheduler;
  },
): Answer {
  const { activeConfig, scheduler } = dependencies;
  const host = query.get("host")?.toLowerCase();
  const path = query.get("path");
  if (!host || !path)
    return fail(STATUS_BAD_REQUEST, "host or path is missing");
  const route = findRoute(activeConfig.routes, { host, target: path });
  if (!route) return fail(STATUS_NOT_FOUND, `no route for ${host}${path}`);
  const teamId = query.get("team");
  const team = teamId === null ? undefined : activeConfig.findTeamById(teamId);
  if (teamId !== null && !team)
    return fail(STATUS_NOT_FOUND, `no team ${teamId}`);
  const work = readWork(query);
  if (work === "odd")
    return fail(STATUS_BAD_REQUEST, "a number of tokens is not one");
  const priority = team?.priority ?? route.priority;
  const services = route.targets.map(({ serviceId, weight }) => {
    const service = activeConfig.findService(serviceId);
    if (!service) return { serviceId, weight, problem: "no such service" };
    const explanation = scheduler.explain({
      service,
      teamId: teamId ?? "",
      work: service.engine ? work : undefined,
      isUrgent: priority === 0,
      targetAtMs: monotonicMs() + route.targetLatencyMs,
      shortestTargetMs: activeConfig.findShortestTargetMs(serviceId),
      excludedRunnerIds: new Set(),
      findAllowedRegions: () =>
        combineAllowedRegions([route.allowedRegions, team?.allowedRegions]),
    });
    const { choice, runners, queuedCount, knowsFleetLoads } = explanation;
    return {
      serviceId,
      weight,
      decision: choice.type,
      runner: choice.type === "placed" ? choice.runner.runnerId : undefined,
      retryAfterMs:
        choice.type === "placed"
          ? undefined
          : estimateRetryAfterMs({
              queuedCount,
              freedSlotsPerSecond: 0,
              pauseEndsInMs: scheduler.findPauseEndMs(serviceId),
              random: 0,
            }),
      queuedCount,
      knowsFleetLoads,
      runners: runners.slice(0, MAX_RUNNERS),
    };
  });
  const body = {
    route: route.routeId,
    team: teamId ?? undefined,
    needsApiKey:
      !route.isPublic && activeConfig.config?.authentication.type === "api_key",
    priority,
    configVersion: activeConfig.version,
    services,
  };
  return { statusCode: STATUS_OK, text: `${JSON.stringify(body)}\n` };
}

function fail(statusCode: number, error: string): Answer {
  return { statusCode, text: `${JSON.stringify({ error })}\n` };
}

function readWork(query: URLSearchParams): GenerationWork | undefined | "odd" {
  const prompt = query.get("prompt_tokens");
  if (prompt === null) return undefined;
  const promptTokens = Number(prompt);
  const maxOutputTokens = Number(
    query.get("max_tokens") ?? DEFAULT_MAX_OUTPUT_TOKENS,
  );
  const areCounts = [promptTokens, maxOutputTokens].every(
    (count) => Number.isInteger(count) && count >= 0 && count <= MAX_TOKENS,
  );
  return areCounts ? { promptTokens, maxOutputTokens, prefixParts: [] } : "odd";
}
