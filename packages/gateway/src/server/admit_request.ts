import type { Quarantine } from "@jujubeladder/coordination";
import type { Result } from "@jujubeladder/types";
import { computeFingerprint } from "@jujubeladder/utils";
import { findRoute } from "../decisions/find_route.js";
import { fitsBeforeStop } from "../decisions/fits_before_stop.js";
import { pickService } from "../decisions/pick_service.js";
import type { CallerRequest } from "../model/caller_request.js";
import type { Refusal } from "../model/refusal.js";
import type { CallerAnswer } from "../relay/caller_answer.js";
import type { RequestContext } from "../relay/request_context.js";
import type { ConfigInForce } from "../views/config_in_force.js";

/** Callers of an instance that can't serve now come back elsewhere. */
const ELSEWHERE_RETRY_MS = 150;
/** Before the first configuration; it is a store's answer away. */
const UNINFORMED_RETRY_MS = 500;
/** A request that crashes runners may be changed by then. */
const QUARANTINED_RETRY_MS = 1_000;

/** What admission goes by. */
interface AdmissionParts {
  readonly config: ConfigInForce;
  readonly quarantine: Quarantine;
  /** Oldest proof of validity that API keys are accepted on. */
  readonly keyProofMaxAgeMs: number | undefined;
  /** Time until this instance exits; undefined while it does not stop. */
  readonly stopLeftMs: () => number | undefined;
}

/**
 * Admits or refuses a request by all that can be decided before a runner is
 * sought: route, key, what is known to crash runners, and a stop under way.
 */
export function admitRequest(
  request: CallerRequest,
  received: {
    readonly answer: CallerAnswer;
    readonly body: Buffer;
    readonly receivedAtMs: number;
  },
  parts: AdmissionParts,
): Result<RequestContext, Refusal> {
  const { config, quarantine, keyProofMaxAgeMs, stopLeftMs } = parts;
  if (!config.config) {
    return notRun("no configuration yet", UNINFORMED_RETRY_MS);
  }
  const route = findRoute(config.routes, request);
  if (!route) return { ok: false, error: { type: "no_route" } };
  const isKeyed = config.config.teams.length > 0 && !route.isPublic;
  const team = isKeyed ? config.findTeam(request.apiKey ?? "") : undefined;
  if (isKeyed) {
    const maxAgeMs = keyProofMaxAgeMs ?? Number.POSITIVE_INFINITY;
    if (config.confirmedAgeMs > maxAgeMs) {
      return notRun("keys cannot be checked", ELSEWHERE_RETRY_MS);
    }
    if (!team) return { ok: false, error: { type: "unknown_key" } };
  }
  const service = config.findService(pickService(route, request.requestId));
  if (!service) return notRun("no such service", UNINFORMED_RETRY_MS);
  const leftMs = stopLeftMs();
  if (leftMs !== undefined && !fitsBeforeStop(request.work, leftMs)) {
    return notRun("this instance stops", ELSEWHERE_RETRY_MS);
  }
  const fingerprint = computeFingerprint(
    team?.teamId ?? "",
    `${request.method} ${request.target}\n${received.body.toString("latin1")}`,
  );
  if (quarantine.status(fingerprint).type === "quarantined") {
    return notRun("it has crashed several runners", QUARANTINED_RETRY_MS);
  }
  const patienceMs = request.patienceMs ?? Number.POSITIVE_INFINITY;
  return {
    ok: true,
    value: {
      request,
      ...received,
      route,
      service,
      team,
      fingerprint,
      priority: team?.priority ?? route.priority,
      configVersion: config.version,
      deadlineAtMs:
        received.receivedAtMs + Math.min(route.timeoutMs, patienceMs),
    },
  };
}

function notRun(
  reason: string,
  retryAfterMs: number,
): Result<RequestContext, Refusal> {
  return { ok: false, error: { type: "not_run", reason, retryAfterMs } };
}
