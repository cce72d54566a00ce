/** Settings of one entry instance. */
export interface EntrySettings {
  readonly instanceId: string;
  readonly host: string;
  readonly callerPort: number;
  readonly peerPort: number;
  readonly adminPort: number;
  readonly region: string;
  readonly availabilityZone: string;
  readonly platformUrl: string;
  readonly platformWaitMs: number;
  readonly sealKeys: readonly string[];
  readonly loadIntervalMs: number;
  readonly maxListAgeMs: number;
  readonly acceptWhileLeavingMs: number;
  readonly ticketTtlMs: number;
  readonly ticketRetentionMs: number;
}
