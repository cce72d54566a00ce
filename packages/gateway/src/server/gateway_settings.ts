/** An address to listen on. */
interface Address {
  readonly host: string;
  readonly port: number;
}

/** Settings of one gateway instance, checked. */
export interface GatewaySettings {
  readonly instanceName: string;
  readonly availabilityZone: string;
  readonly region: string;
  readonly callers: Address;
  readonly readiness: Address & { readonly path: string };
  readonly peers: Address;
  /** HOST:PORT of peers to begin with. */
  readonly seeds: readonly string[];
  readonly metrics?: (Address & { readonly path: string }) | undefined;
  readonly retry: {
    readonly ratio: number;
    readonly fleetSlack: number;
    readonly windowMs: number;
  };
  /** Oldest proof that API keys are accepted on; undefined accepts any. */
  readonly keyProofMaxAgeMs: number | undefined;
  /** Time from the order to stop until the process is killed. */
  readonly stopGraceMs: number;
}
