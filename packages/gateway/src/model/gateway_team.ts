/** A team and the API keys that it holds. */
export interface GatewayTeam {
  readonly teamId: string;
  readonly apiKeys: readonly string[];
  /** Goes before the priority of the route. */
  readonly priority?: number | undefined;
}
