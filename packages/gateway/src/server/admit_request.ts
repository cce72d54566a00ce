import type { PartQuarantine, Quarantine } from "@jujubeladder/coordination";
import type { Result } from "@jujubeladder/types";
import { computeFingerprint } from "@jujubeladder/utils";
import { authenticateCaller } from "../decisions/authenticate_caller.js";
import { combineAllowedRegions } from "../decisions/combine_allowed_regions.js";
import { findQuarantineRefusal } from "../decisions/find_quarantine_refusal.js";
import { findRoute } from "../decisions/find_route.js";
import { endsBeforeExit } from "../decisions/ends_before_exit.js";
import { listSharedParts } from "../decisions/list_shared_parts.js";
import { pickService } from "../decisions/pick_service.js";
import { refuseWhileStopping } from "../decisions/refuse_while_stopping.js";
import type { CallerRequest } from "../model/caller_request.js";
import type { Refusal } from "../model/refusal.js";
import type { CallerResponse } from "../relay/caller_response.js";
import type { RequestContext } from "../relay/request_context.js";
import type { ActiveConfig } from "../views/active_config.js";

/** Retry delay when another instance can probably serve the request. */
const OTHER_INSTANCE_RETRY_MS = 150;
/** A missing configuration arrives with the next response of the store. */
const NO_CONFIG_RETRY_MS = 500;

/** State that admission decisions depend on. */
interface AdmissionDependencies {
  readonly activeConfig: ActiveConfig;
  readonly quarantine: Quarantine;
  readonly partQuarantine: PartQuarantine;
  /**
   * API keys are rejected if the configuration was last confirmed longer ago
   * than this; undefined sets no limit.
   */
  readonly maxKeyConfigAgeMs: number | undefined;
  /**
   * When this instance exits, on the monotonic clock; undefined unless it is
   * stopping.
   */
  readonly exitAtMs: () => number | undefined;
}

/**
 * Admits or refuses a request by the checks that need no runner: route, API
 * key, service, time left before this instance exits, and quarantine.
 */
export function admitRequest(
  request: CallerRequest,
  received: {
    readonly response: CallerResponse;
    readonly body: Buffer;
    readonly receivedAtMs: number;
  },
  dependencies: AdmissionDependencies,
): Result<RequestContext, Refusal> {
  const { activeConfig, maxKeyConfigAgeMs, exitAtMs } = dependencies;
  if (!activeConfig.config) {
    return notRun("no configuration yet", NO_CONFIG_RETRY_MS);
  }
  const route = findRoute(activeConfig.routes, request);
  if (!route) return { ok: false, error: { type: "no_route" } };
  const identity = authenticateCaller(
    { route, apiKey: request.apiKey },
    {
      authentication: activeConfig.config.authentication,
      findTeam: (apiKey) => activeConfig.findTeam(apiKey),
    },
  );
  if (identity.type !== "anonymous") {
    const maxAgeMs = maxKeyConfigAgeMs ?? Number.POSITIVE_INFINITY;
    if (activeConfig.confirmedAgeMs > maxAgeMs) {
      return notRun("keys cannot be checked", OTHER_INSTANCE_RETRY_MS);
    }
  }
  if (identity.type === "unknown_key") return { ok: false, error: identity };
  const team = identity.type === "team" ? identity.team : undefined;
  const service = activeConfig.findService(
    pickService(route, request.requestId),
  );
  if (!service) return notRun("no such service", NO_CONFIG_RETRY_MS);
  const callerTimeoutMs = request.maxWaitMs ?? Number.POSITIVE_INFINITY;
  const deadlineAtMs =
    received.receivedAtMs + Math.min(route.timeoutMs, callerTimeoutMs);
  if (!endsBeforeExit(deadlineAtMs, exitAtMs())) {
    return { ok: false, error: refuseWhileStopping() };
  }
  // Asked for again before each attempt; a body may have megabytes.
  let fingerprint: string | undefined;
  const computeRequestFingerprint = () =>
    (fingerprint ??= computeFingerprint(
      team?.teamId ?? "",
      `${request.method} ${request.target}\n${received.body.toString("latin1")}`,
    ));
  const { version: admittedVersion, hash: admittedHash } = activeConfig;
  const findAllowedRegions = () => {
    const admitted = [route.allowedRegions, team?.allowedRegions];
    // Under one version the store may come to hold another text.
    if (activeConfig.hash === admittedHash)
      return combineAllowedRegions(admitted);
    const current = findRoute(activeConfig.routes, request);
    const currentTeam = team && activeConfig.findTeamById(team.teamId);
    return combineAllowedRegions([
      ...admitted,
      current?.allowedRegions,
      currentTeam?.allowedRegions,
    ]);
  };
  const sharedPartIds = listSharedParts(request.work);
  const quarantined = findQuarantineRefusal(
    { computeFingerprint: computeRequestFingerprint, sharedPartIds },
    dependencies,
  );
  if (quarantined) return { ok: false, error: quarantined };
  return {
    ok: true,
    value: {
      request,
      ...received,
      route,
      service,
      team,
      computeFingerprint: computeRequestFingerprint,
      sharedPartIds,
      shortestTargetMs:
        route.retryPolicy.type === "stream"
          ? activeConfig.findShortestTargetMs(service.serviceId)
          : undefined,
      priority: team?.priority ?? route.priority,
      configVersion: admittedVersion,
      findAllowedRegions,
      deadlineAtMs,
    },
  };
}

function notRun(
  reason: string,
  retryAfterMs: number,
): Result<RequestContext, Refusal> {
  return { ok: false, error: { type: "not_run", reason, retryAfterMs } };
}
