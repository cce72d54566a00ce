import type { CallerLimits } from "./caller_limits.js";
import type { GatewayTeam } from "./gateway_team.js";
import type { Route } from "./route.js";
import type { RoutedService } from "./routed_service.js";

/** One version of the operators' configuration. */
export interface GatewayConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  readonly teams: readonly GatewayTeam[];
  readonly limits: CallerLimits;
}
