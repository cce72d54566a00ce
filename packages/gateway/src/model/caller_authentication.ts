import type { GatewayTeam } from "./gateway_team.js";

/**
 * Whether callers of routes that are not public need an API key. A configuration
 * without any list of teams asks for none; one whose list is empty accepts none.
 */
export type CallerAuthentication =
  | { readonly type: "none" }
  | { readonly type: "api_key"; readonly teams: readonly GatewayTeam[] };
