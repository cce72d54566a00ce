import type { CallerAuthentication } from "./caller_authentication.js";
import type { CallerLimits } from "./caller_limits.js";
import type { Route } from "./route.js";
import type { RoutedService } from "./routed_service.js";

/** A version of the configuration that operators publish. */
export interface GatewayConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  readonly authentication: CallerAuthentication;
  readonly limits: CallerLimits;
}
