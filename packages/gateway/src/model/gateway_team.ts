/** A team and its API keys. */
export interface GatewayTeam {
  readonly teamId: string;
  readonly apiKeys: readonly string[];
  /** Overrides the priority of the route. */
  readonly priority?: number | undefined;
  /** As for a route; both restrictions bind. */
  readonly allowedRegions?: readonly string[] | undefined;
}
