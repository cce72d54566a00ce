/** Limits of the owner and witness ledgers of one instance. */
export interface TicketLimits {
  readonly ticketTtlMs: number;
  /** How long a ticket's record is kept after the ticket has expired. */
  readonly retentionMs: number;
  readonly maxEntries: number;
  readonly maxResultBytes: number;
}
