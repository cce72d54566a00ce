import type { TicketLimits } from "./ticket_limits.js";

/** Default limits, sized for an instance with a few hundred megabytes. */
export const DEFAULT_TICKET_LIMITS: TicketLimits = {
  ticketTtlMs: 600_000,
  retentionMs: 600_000,
  maxEntries: 50_000,
  maxResultBytes: 64_000_000,
};
