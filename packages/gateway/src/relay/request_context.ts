import type { AllowedRegions } from "../model/allowed_regions.js";
import type { CallerRequest } from "../model/caller_request.js";
import type { GatewayTeam } from "../model/gateway_team.js";
import type { RoutedService } from "../model/routed_service.js";
import type { Route } from "../model/route.js";
import type { CallerResponse } from "./caller_response.js";

/** An admitted request with everything needed to relay it. */
export interface RequestContext {
  readonly request: CallerRequest;
  readonly body: Buffer;
  readonly route: Route;
  readonly service: RoutedService;
  readonly team?: GatewayTeam | undefined;
  /**
   * The shortest latency target of the streams that go to its service; absent if
   * it is no stream.
   */
  readonly shortestTargetMs?: number | undefined;
  /** Scheduling priority; 0 is urgent. */
  readonly priority: number;
  readonly response: CallerResponse;
  /**
   * Computes the content fingerprint, which is comparable between instances;
   * see `Quarantine`.
   */
  readonly computeFingerprint: () => string;
  /** Prompt parts that other requests may share. */
  readonly sharedPartIds: readonly string[];
  readonly configVersion: number;
  /**
   * Finds the regions in which it may be served, by the configuration at its
   * admission and by the active one.
   */
  readonly findAllowedRegions: () => AllowedRegions;
  /** Arrival time on the monotonic clock. */
  readonly receivedAtMs: number;
  /** Deadline set by the caller or the route, on the monotonic clock. */
  readonly deadlineAtMs: number;
}
