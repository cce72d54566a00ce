import type { CallerRequest } from "../model/caller_request.js";
import type { GatewayTeam } from "../model/gateway_team.js";
import type { RoutedService } from "../model/routed_service.js";
import type { Route } from "../model/route.js";
import type { CallerAnswer } from "./caller_answer.js";

/** An admitted request and all that its relay needs to know. */
export interface RequestContext {
  readonly request: CallerRequest;
  readonly body: Buffer;
  readonly route: Route;
  readonly service: RoutedService;
  readonly team?: GatewayTeam | undefined;
  readonly priority: number;
  readonly answer: CallerAnswer;
  /** Content that peers can compare; see `Quarantine`. */
  readonly fingerprint: string;
  readonly configVersion: number;
  readonly receivedAtMs: number;
  /** When the caller or the route gives up, on the monotonic clock. */
  readonly deadlineAtMs: number;
}
