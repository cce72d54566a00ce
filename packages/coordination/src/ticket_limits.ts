/** Bounds of the submission ledgers of one instance. */
export interface TicketLimits {
  readonly ticketTtlMs: number;
  /** How long past its expiry a ticket is remembered. */
  readonly retentionMs: number;
  readonly maxEntries: number;
  readonly maxResultBytes: number;
}
