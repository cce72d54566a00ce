/** A request whose response was cut off by the end of its connection. */
export interface InterruptedRequest {
  readonly requestId: string;
  /** Content fingerprint; see `Quarantine`. */
  readonly fingerprint: string;
  /** Prompt parts that other requests may share. */
  readonly sharedPartIds: readonly string[];
  /** Time from its first to its last event; undefined without events. */
  readonly writingForMs: number | undefined;
}
