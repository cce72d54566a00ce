/** Limits on the evidence in one digest; more is neither sent nor read. */
export const PART_EVIDENCE_LIMITS = {
  parts: 16,
  lossesPerPart: 8,
  idLength: 128,
} as const;
