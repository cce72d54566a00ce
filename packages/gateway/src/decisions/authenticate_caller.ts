import type { CallerAuthentication } from "../model/caller_authentication.js";
import type { GatewayTeam } from "../model/gateway_team.js";

/** What a request's API key, or the lack of one, says of its caller. */
type CallerIdentity =
  | { readonly type: "anonymous" }
  | { readonly type: "team"; readonly team: GatewayTeam }
  | { readonly type: "unknown_key" };

/**
 * Identifies the caller of a request. A key that the configuration does not name
 * is refused also where none is needed, as it may have been withdrawn.
 */
export function authenticateCaller(
  {
    route,
    apiKey,
  }: {
    readonly route: { readonly isPublic: boolean };
    readonly apiKey: string | undefined;
  },
  {
    authentication,
    findTeam,
  }: {
    readonly authentication: CallerAuthentication;
    readonly findTeam: (apiKey: string) => GatewayTeam | undefined;
  },
): CallerIdentity {
  if (route.isPublic) return { type: "anonymous" };
  if (apiKey !== undefined) {
    const team = findTeam(apiKey);
    return team ? { type: "team", team } : { type: "unknown_key" };
  }
  switch (authentication.type) {
    case "none":
      return { type: "anonymous" };
    case "api_key":
      return { type: "unknown_key" };
  }
}
